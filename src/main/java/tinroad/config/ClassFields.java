package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/** One class of requests in the settings while its fields come in, in any order. Times in ms. */
final class ClassFields {
    private String name = "";
    private double objectiveMillis;
    private double objectivePerWork;
    private double deadlineMillis;
    private double priorityWeight;
    private double lateWeightShare;
    private double keyWindowMillis;
    private Idempotency idempotency = Idempotency.NON_IDEMPOTENT;

    private ClassFields() {}

    /**
     * Reads the object that the parser stands on.
     *
     * @param unknownWords gets a line for each word that this program does not know
     */
    static ClassFields read(JsonParser in, ValidationErrors unknownWords) throws IOException {
        ClassFields fields = new ClassFields();
        each(in, field -> fields.field(field, in, unknownWords));
        return fields;
    }

    private void field(String field, JsonParser in, ValidationErrors unknownWords)
            throws IOException {
        switch (field) {
            case "name" -> name = text(in);
            case "objective" -> objectiveMillis = number(in, 0);
            case "aim_stretch" -> objectivePerWork = number(in, 0);
            case "deadline" -> deadlineMillis = number(in, 0);
            case "gain" -> priorityWeight = number(in, 0);
            case "late_share" -> lateWeightShare = number(in, 0);
            case "key_ttl" -> keyWindowMillis = number(in, 0);
            case "semantics" -> idempotency = idempotency(text(in), unknownWords);
            default -> {}
        }
    }

    private Idempotency idempotency(String word, ValidationErrors unknownWords) {
        return switch (word) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "single_shot" -> Idempotency.NON_IDEMPOTENT;
            default -> {
                unknownWords.add(
                        "class "
                                + name
                                + ": semantics is none of free, guarded, single_shot: '"
                                + word
                                + "'");
                yield Idempotency.NON_IDEMPOTENT;
            }
        };
    }

    String name() {
        return name;
    }

    /** The class as the controller takes it, with what {@code family_info} says of it. */
    RequestClass toSpec(boolean callsDependency, double degradedWeightShare) {
        return new RequestClass(
                objectiveMillis,
                objectivePerWork,
                deadlineMillis,
                priorityWeight,
                lateWeightShare,
                idempotency,
                keyWindowMillis,
                callsDependency,
                degradedWeightShare);
    }
}
