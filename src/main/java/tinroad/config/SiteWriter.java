package tinroad.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Writes classes and tenants in the JSON format of the settings, sorted by name, so that {@link
 * SiteReader} reads the same values back.
 */
public final class SiteWriter {
    private SiteWriter() {}

    /**
     * Writes an object in which {@code family_info} comes before the classes, so that it can be
     * read in one pass.
     */
    public static void write(
            JsonGenerator out, Map<String, RequestClass> classes, Map<String, Tenant> tenants)
            throws IOException {
        Map<String, RequestClass> sorted = new TreeMap<>(classes);
        out.writeStartObject();
        familyInfo(out, sorted.values());
        out.writeArrayFieldStart("classes");
        for (Map.Entry<String, RequestClass> entry : sorted.entrySet()) {
            entry(out, entry.getKey(), fields(entry.getValue()));
        }
        out.writeEndArray();
        out.writeArrayFieldStart("orgs");
        for (Map.Entry<String, Tenant> entry : new TreeMap<>(tenants).entrySet()) {
            entry(out, entry.getKey(), fields(entry.getValue()));
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    /**
     * Returns the fields of a class, without those that {@code family_info} has. A field whose
     * value is the default is left out.
     */
    public static Map<String, Object> fields(RequestClass spec) {
        Map<String, Object> fields = new LinkedHashMap<>();
        number(fields, "objective", spec.objectiveMillis());
        number(fields, "aim_stretch", spec.objectivePerWork());
        number(fields, "deadline", spec.deadlineMillis());
        number(fields, "gain", spec.priorityWeight());
        number(fields, "late_share", spec.lateWeightShare());
        number(fields, "key_ttl", spec.keyRetentionMillis());
        fields.put("semantics", wireName(spec.idempotency()));
        return fields;
    }

    private static String wireName(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "free";
            case IDEMPOTENT_WITH_KEY -> "guarded";
            case NON_IDEMPOTENT -> "single_shot";
        };
    }

    /** Returns the fields of a tenant. A field whose value is the default is left out. */
    public static Map<String, Object> fields(Tenant spec) {
        Map<String, Object> fields = new LinkedHashMap<>();
        number(fields, "quota_per_s", spec.quotaPerSecond());
        number(fields, "share", spec.share());
        return fields;
    }

    private static void number(Map<String, Object> fields, String field, double value) {
        if (Double.compare(value, 0) != 0) {
            fields.put(field, value);
        }
    }

    private static void entry(JsonGenerator out, String name, Map<String, Object> fields)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("name", name);
        for (Map.Entry<String, Object> entry : fields.entrySet()) {
            out.writeObjectField(entry.getKey(), entry.getValue());
        }
        out.writeEndObject();
    }

    private static void familyInfo(JsonGenerator out, Collection<RequestClass> classes)
            throws IOException {
        out.writeObjectFieldStart("family_info");
        if (classes.stream()
                .noneMatch(
                        spec ->
                                spec.callsDependency()
                                        || Double.compare(spec.degradedWeightShare(), 0) != 0)) {
            // The object is empty but still written: its position before the classes spares their
            // reader a second pass.
            out.writeEndObject();
            return;
        }
        out.writeArrayFieldStart("class_calls");
        for (RequestClass spec : classes) {
            out.writeBoolean(spec.callsDependency());
        }
        out.writeEndArray();
        out.writeArrayFieldStart("degraded_worth");
        for (RequestClass spec : classes) {
            out.writeNumber(spec.degradedWeightShare());
        }
        out.writeEndArray();
        out.writeEndObject();
    }
}
