package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/**
 * Collects the fields of one class of requests while the settings are read. Fields may come in any
 * order. Times are in ms.
 */
final class ClassFields {
    private String name = "";
    private double objectiveMillis;
    private double objectivePerWork;
    private double deadlineMillis;
    private double priorityWeight;
    private double lateWeightShare;
    private double keyRetentionMillis;
    private Idempotency idempotency = Idempotency.NON_IDEMPOTENT;

    private ClassFields() {}

    /**
     * Reads the object at the parser's current position.
     *
     * @param unknownValues receives one line for each enumerated value that is not known
     */
    static ClassFields read(JsonParser in, ValidationErrors unknownValues) throws IOException {
        ClassFields fields = new ClassFields();
        each(in, field -> fields.field(field, in, unknownValues));
        return fields;
    }

    private void field(String field, JsonParser in, ValidationErrors unknownValues)
            throws IOException {
        switch (field) {
            case "name" -> name = text(in);
            case "objective" -> objectiveMillis = number(in, 0);
            case "aim_stretch" -> objectivePerWork = number(in, 0);
            case "deadline" -> deadlineMillis = number(in, 0);
            case "gain" -> priorityWeight = number(in, 0);
            case "late_share" -> lateWeightShare = number(in, 0);
            case "key_ttl" -> keyRetentionMillis = number(in, 0);
            case "semantics" -> idempotency = idempotency(text(in), unknownValues);
            default -> {}
        }
    }

    private Idempotency idempotency(String value, ValidationErrors unknownValues) {
        return switch (value) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "single_shot" -> Idempotency.NON_IDEMPOTENT;
            default -> {
                unknownValues.add(
                        "class "
                                + name
                                + ": semantics is none of free, guarded, single_shot: '"
                                + value
                                + "'");
                yield Idempotency.NON_IDEMPOTENT;
            }
        };
    }

    String name() {
        return name;
    }

    /**
     * Converts the fields to the controller's type; the arguments come from {@code family_info}.
     */
    RequestClass toSpec(boolean callsDependency, double degradedWeightShare) {
        return new RequestClass(
                objectiveMillis,
                objectivePerWork,
                deadlineMillis,
                priorityWeight,
                lateWeightShare,
                idempotency,
                keyRetentionMillis,
                callsDependency,
                degradedWeightShare);
    }
}
