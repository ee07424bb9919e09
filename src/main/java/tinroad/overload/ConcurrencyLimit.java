package tinroad.overload;

import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Rules;
import tinroad.overload.Controller.Settings;

/**
 * How many requests may run at once: follows the use of the cores, below what the server survives.
 */
final class ConcurrencyLimit {
    private static final double INITIAL_RUNS_PER_CORE = 1.25;

    /** Part of the concurrency that the server survives which is never passed. */
    private static final double MAX_SURVIVED_SHARE = 0.6;

    /** From this utilization on the cores are busy. */
    private static final double BUSY_UTILIZATION = 0.92;

    /** With more than this many runs a core that want one the cores are overcommitted. */
    private static final double MAX_RUNNABLE_PER_CORE = 1.6;

    private final Settings settings;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private double onCoreLimit;

    ConcurrencyLimit(Settings settings, ControllerClock clock, CoreUsage cores) {
        this.settings = settings;
        this.clock = clock;
        this.cores = cores;
        onCoreLimit = Math.max(1, settings.cores() * INITIAL_RUNS_PER_CORE);
    }

    /** Runs allowed at once, at least 1: more where runs wait off the cores. */
    double allowed() {
        return Math.max(1, Math.min(onCoreLimit / cores.onCoreShare(), survivable()));
    }

    /**
     * Runs, those paused for calls included, that the server survives with a reserve, at least 1.
     * After a cold start fewer, more by the clock until {@link Rules#slowStartMillis()} have
     * passed.
     */
    double survivable() {
        Rules rules = settings.rules();
        double warm = 1;
        if (settings.coldStart() && rules.slowStartMillis() > 0) {
            double ramp = Math.min(1, clock.sinceStartMillis() / rules.slowStartMillis());
            warm = rules.coldStartSpeed() + (1 - rules.coldStartSpeed()) * ramp;
        }
        return Math.max(
                1,
                settings.cores()
                        * (1 + (rules.concurrencyPerCore() - 1) * warm)
                        * MAX_SURVIVED_SHARE);
    }

    /**
     * One sweep: fewer while the cores are overcommitted, more while queued work could use them.
     */
    void adjust(Gauges gauges, boolean requestsQueued) {
        if (gauges.runnable() > MAX_RUNNABLE_PER_CORE * settings.cores()) {
            onCoreLimit = Math.max(settings.cores(), onCoreLimit - 1);
        } else if (gauges.coreUtilization() < BUSY_UTILIZATION && requestsQueued) {
            onCoreLimit =
                    Math.min(
                            onCoreLimit + 1,
                            settings.cores()
                                    * settings.rules().concurrencyPerCore()
                                    * MAX_SURVIVED_SHARE);
        }
    }
}
