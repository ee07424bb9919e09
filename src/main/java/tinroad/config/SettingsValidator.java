package tinroad.config;

import tinroad.overload.Controller;

/**
 * Validates the settings of a file before the start, and each class and tenant that a catalog
 * change puts. Each error adds one line. An absent value or an unknown field name is not an error.
 * The bounds on names and on the size of tables limit memory use.
 */
public final class SettingsValidator {
    /** Maximum number of request classes in one table. */
    public static final int MAX_CLASSES = 65_536;

    /** Maximum number of tenants in one table. */
    public static final int MAX_TENANTS = 131_072;

    /** Maximum length of a name in UTF-8. */
    public static final int MAX_NAME_BYTES = 4096;

    private static final int MAX_SHOWN_CHARACTERS = 80;

    /** The most bytes that one {@code char} takes in UTF-8. */
    private static final int MAX_BYTES_PER_CHARACTER = 3;

    private SettingsValidator() {}

    /**
     * Checks the name of an entry.
     *
     * @param list the name of the table, for messages
     * @param index the entry's position in {@code list}; negative for an entry that a change puts
     * @param taken whether an earlier entry has the same name
     */
    public static void name(
            String list, int index, String name, boolean taken, ValidationErrors errors) {
        if (!name.isEmpty()
                && name.length() <= MAX_NAME_BYTES / MAX_BYTES_PER_CHARACTER
                && !taken) {
            return;
        }
        String where = index < 0 ? list : list + "[" + index + "]";
        int bytes = bytes(name);
        if (name.isEmpty()) {
            errors.add(where + " has no name");
        } else if (bytes > MAX_NAME_BYTES) {
            errors.add(
                    where
                            + ": the name "
                            + shown(name)
                            + " is longer than "
                            + MAX_NAME_BYTES
                            + " bytes");
        } else if (taken) {
            errors.add(where + ": the name " + shown(name) + " is taken");
        }
    }

    private static int bytes(String name) {
        return name.codePoints().map(c -> c < 0x80 ? 1 : c < 0x800 ? 2 : c < 0x10000 ? 3 : 4).sum();
    }

    /** Returns a name as messages for operators show it: a long name is truncated. */
    public static String shown(String name) {
        return name.length() <= MAX_SHOWN_CHARACTERS
                ? name
                : name.substring(0, MAX_SHOWN_CHARACTERS)
                        + "... ("
                        + name.length()
                        + " characters)";
    }

    /** Checks that the tables of classes and tenants are within their bounds. */
    public static void counts(int classes, int tenants, ValidationErrors errors) {
        if (classes > MAX_CLASSES) {
            errors.add("classes: " + classes + " are more than " + MAX_CLASSES);
        }
        if (tenants > MAX_TENANTS) {
            errors.add("orgs: " + tenants + " are more than " + MAX_TENANTS);
        }
    }

    /** Checks the values of a class. */
    public static void requestClass(
            String name, Controller.RequestClass spec, ValidationErrors errors) {
        if (!(spec.deadlineMillis() > 0)) {
            errors.add(
                    "class "
                            + shown(name)
                            + ": deadline has to be above 0, not "
                            + plain(spec.deadlineMillis()));
        }
        atLeast("class ", name, "objective", spec.objectiveMillis(), 0, errors);
        atLeast("class ", name, "gain", spec.priorityWeight(), 0, errors);
        betweenZeroAndOne("class ", name, "late_share", spec.lateWeightShare(), errors);
        atLeast("class ", name, "key_ttl", spec.keyRetentionMillis(), 0, errors);
    }

    /** Checks the values of a tenant. */
    public static void tenant(String name, Controller.Tenant spec, ValidationErrors errors) {
        atLeast("org ", name, "quota_per_s", spec.quotaPerSecond(), 0, errors);
        betweenZeroAndOne("org ", name, "share", spec.share(), errors);
    }

    /** Checks all values except those of classes and tenants. */
    static void otherSettings(Controller.Settings settings, ValidationErrors errors) {
        Controller.OperatingLimits rules = settings.operatingLimits();
        atLeast("", "rules", "answer_slack", rules.answerSlackMillis(), 0, errors);
        betweenZeroAndOne("", "rules", "cold_from", rules.coldStartSpeedShare(), errors);
        atLeast("", "rules", "ramp_time", rules.slowStartMillis(), 0, errors);
        atLeast("", "rules", "drain_grace", rules.drainGraceMillis(), 0, errors);
        atLeast("", "rules", "fall_multiple", rules.maxRunsPerCore(), 1, errors);
        atLeast("", "rules", "fall", rules.concurrencyWindowMillis(), 0, errors);
        atLeast("", "family_info", "cores", settings.cores(), 1, errors);
        atLeast("", "family_info", "memory_kb", settings.memoryKb(), 0, errors);
        atLeast("", "family_info", "run_factor", settings.runMemoryFactor(), 0, errors);
        atLeast("", "family_info", "idle", settings.clientIdleTimeoutMillis(), 0, errors);
        atLeast("", "family_info", "fresh_for", settings.resultReplayMillis(), 0, errors);
        atLeast("", "caps", "max_retry_after", settings.maxRetryAfterMillis(), 0, errors);
    }

    private static void atLeast(
            String kind,
            String name,
            String field,
            double value,
            double bound,
            ValidationErrors errors) {
        if (!(value >= bound)) {
            errors.add(
                    kind
                            + shown(name)
                            + ": "
                            + field
                            + " has to be "
                            + plain(bound)
                            + " at least, not "
                            + plain(value));
        }
    }

    private static void betweenZeroAndOne(
            String kind, String name, String field, double value, ValidationErrors errors) {
        if (!(value >= 0 && value <= 1)) {
            errors.add(
                    kind
                            + shown(name)
                            + ": "
                            + field
                            + " has to be from 0 to 1, not "
                            + plain(value));
        }
    }

    /** Formats a number, without decimals if it is whole. */
    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
