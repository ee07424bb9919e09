package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import tinroad.overload.Controller.Tenant;

/** Collects the fields of one tenant while the settings are read. Fields may come in any order. */
final class TenantFields {
    private String name = "";
    private double quotaPerSecond;
    private double share;

    private TenantFields() {}

    /** Reads the object at the parser's current position. */
    static TenantFields read(JsonParser in) throws IOException {
        TenantFields fields = new TenantFields();
        each(in, field -> fields.field(field, in));
        return fields;
    }

    private void field(String field, JsonParser in) throws IOException {
        switch (field) {
            case "name" -> name = text(in);
            case "quota_per_s" -> quotaPerSecond = number(in, 0);
            case "share" -> share = number(in, 0);
            default -> {}
        }
    }

    String name() {
        return name;
    }

    /** Converts the fields to the controller's type. */
    Tenant toSpec() {
        return new Tenant(quotaPerSecond, share);
    }
}
