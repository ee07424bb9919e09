package tinroad.config;

import tinroad.overload.Controller;

/**
 * What in the settings can't be meant, a line each: of a file before the start, and of each entry
 * that a change puts. Only what no site can have is a fault; a value that is absent, or a name that
 * is not known, is none. Guards memory, too: tables have bounds.
 */
public final class SettingsValidator {
    /** Classes of requests in one table. */
    public static final int MAX_CLASSES = 65_536;

    /** Tenants in one table. */
    public static final int MAX_TENANTS = 131_072;

    /** Bytes of a name in UTF-8. */
    public static final int MAX_NAME_BYTES = 4096;

    private static final int SHOWN = 80;

    private SettingsValidator() {}

    /**
     * The name of an entry that stands at {@code index} of {@code list}; below 0: of an entry that
     * a change puts.
     */
    public static void name(
            String list, int index, String name, boolean taken, ValidationErrors faults) {
        if (!name.isEmpty() && name.length() <= MAX_NAME_BYTES / 3 && !taken) {
            return;
        }
        String where = index < 0 ? list : list + "[" + index + "]";
        int bytes = bytes(name);
        if (name.isEmpty()) {
            faults.add(where + " has no name");
        } else if (bytes > MAX_NAME_BYTES) {
            faults.add(
                    where
                            + ": the name "
                            + shown(name)
                            + " is longer than "
                            + MAX_NAME_BYTES
                            + " bytes");
        } else if (taken) {
            faults.add(where + ": the name " + shown(name) + " is taken");
        }
    }

    private static int bytes(String name) {
        return name.codePoints().map(c -> c < 0x80 ? 1 : c < 0x800 ? 2 : c < 0x10000 ? 3 : 4).sum();
    }

    /** A name as lines for operators show it: a long one is cut. */
    public static String shown(String name) {
        return name.length() <= SHOWN
                ? name
                : name.substring(0, SHOWN) + "... (" + name.length() + " characters)";
    }

    /** How many there are. */
    public static void counts(int classes, int tenants, ValidationErrors faults) {
        if (classes > MAX_CLASSES) {
            faults.add("classes: " + classes + " are more than " + MAX_CLASSES);
        }
        if (tenants > MAX_TENANTS) {
            faults.add("orgs: " + tenants + " are more than " + MAX_TENANTS);
        }
    }

    /** A class. */
    public static void requestClass(
            String name, Controller.RequestClass c, ValidationErrors faults) {
        if (!(c.deadlineMillis() > 0)) {
            faults.add(
                    "class "
                            + shown(name)
                            + ": deadline has to be above 0, not "
                            + plain(c.deadlineMillis()));
        }
        least("class ", name, "objective", c.objectiveMillis(), 0, faults);
        least("class ", name, "gain", c.priorityWeight(), 0, faults);
        within("class ", name, "late_share", c.lateWeightShare(), faults);
        least("class ", name, "key_ttl", c.keyWindowMillis(), 0, faults);
    }

    /** A tenant. */
    public static void tenant(String name, Controller.Tenant t, ValidationErrors faults) {
        least("org ", name, "quota_per_s", t.quotaPerSecond(), 0, faults);
        within("org ", name, "share", t.share(), faults);
    }

    /** All but the classes and tenants. */
    static void rest(Controller.Settings s, ValidationErrors faults) {
        Controller.Rules r = s.rules();
        least("", "rules", "answer_slack", r.answerSlackMillis(), 0, faults);
        within("", "rules", "cold_from", r.coldStartSpeed(), faults);
        least("", "rules", "ramp_time", r.slowStartMillis(), 0, faults);
        least("", "rules", "drain_grace", r.drainGraceMillis(), 0, faults);
        least("", "rules", "fall_multiple", r.concurrencyPerCore(), 1, faults);
        least("", "rules", "fall", r.concurrencyWindowMillis(), 0, faults);
        least("", "family_info", "cores", s.cores(), 1, faults);
        least("", "family_info", "memory_kb", s.memoryKb(), 0, faults);
        least("", "family_info", "run_factor", s.runMemoryFactor(), 0, faults);
        least("", "family_info", "idle", s.clientIdleMillis(), 0, faults);
        least("", "family_info", "fresh_for", s.resultFreshMillis(), 0, faults);
        least("", "caps", "max_retry_after", s.maxRetryAfterMillis(), 0, faults);
    }

    private static void least(
            String kind,
            String name,
            String field,
            double value,
            double bound,
            ValidationErrors faults) {
        if (!(value >= bound)) {
            faults.add(
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

    private static void within(
            String kind, String name, String field, double value, ValidationErrors faults) {
        if (!(value >= 0 && value <= 1)) {
            faults.add(
                    kind
                            + shown(name)
                            + ": "
                            + field
                            + " has to be from 0 to 1, not "
                            + plain(value));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
