package tinroad.overload;

import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.OperatingLimits;
import tinroad.overload.Controller.Settings;

/**
 * The limit on the number of concurrent runs. It follows the use of the cores and stays below the
 * concurrency that the server survives.
 */
final class ConcurrencyLimit {
    private static final double INITIAL_RUNS_PER_CORE = 1.25;

    /** Share of the concurrency that the server survives which the limit never exceeds. */
    private static final double MAX_SURVIVABLE_SHARE = 0.6;

    /** Utilization of the cores from which they count as busy. */
    private static final double BUSY_UTILIZATION = 0.92;

    /**
     * The cores are overcommitted with more than this many runs per core that are on a core or
     * waiting for one.
     */
    private static final double MAX_RUNNABLE_PER_CORE = 1.6;

    private final Settings settings;
    private final ControllerClock clock;
    private final CoreUsage cores;

    /** Limit on runs that need a core at the same time. */
    private double onCoreLimit;

    ConcurrencyLimit(Settings settings, ControllerClock clock, CoreUsage cores) {
        this.settings = settings;
        this.clock = clock;
        this.cores = cores;
        onCoreLimit = Math.max(1, settings.cores() * INITIAL_RUNS_PER_CORE);
    }

    /**
     * Number of runs allowed at once, at least 1. It is higher where runs spend time off the cores.
     */
    double allowed() {
        return Math.max(1, Math.min(onCoreLimit / cores.onCoreShare(), survivable()));
    }

    /**
     * Number of runs, including those paused for calls, that the server survives with a reserve, at
     * least 1. After a cold start it is lower and rises with time until {@link
     * OperatingLimits#slowStartMillis()} have passed.
     */
    double survivable() {
        OperatingLimits rules = settings.operatingLimits();
        double speed = 1;
        if (settings.coldStart() && rules.slowStartMillis() > 0) {
            double rampShare = Math.min(1, clock.sinceStartMillis() / rules.slowStartMillis());
            speed = rules.coldStartSpeedShare() + (1 - rules.coldStartSpeedShare()) * rampShare;
        }
        return Math.max(
                1,
                settings.cores()
                        * (1 + (rules.maxRunsPerCore() - 1) * speed)
                        * MAX_SURVIVABLE_SHARE);
    }

    /**
     * Adjusts the limit, once per sweep: down while the cores are overcommitted, up while queued
     * work could use free cores.
     */
    void adjust(Gauges gauges, boolean requestsQueued) {
        if (gauges.runnable() > MAX_RUNNABLE_PER_CORE * settings.cores()) {
            onCoreLimit = Math.max(settings.cores(), onCoreLimit - 1);
        } else if (gauges.coreUtilization() < BUSY_UTILIZATION && requestsQueued) {
            onCoreLimit =
                    Math.min(
                            onCoreLimit + 1,
                            settings.cores()
                                    * settings.operatingLimits().maxRunsPerCore()
                                    * MAX_SURVIVABLE_SHARE);
        }
    }
}
