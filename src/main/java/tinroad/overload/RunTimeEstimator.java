package tinroad.overload;

import java.util.Collection;
import tinroad.overload.Controller.Settings;

/**
 * Estimates run times from the learned statistics of each class and from how far the current runs
 * exceed them.
 */
final class RunTimeEstimator {
    /**
     * Ratio of the core time received by the current runs to their expected run times that is still
     * chance, for work of skewed sizes.
     */
    private static final double CALM_RATIO = 1.5;

    /**
     * A run counts for at most this many expected run times of its class, because one oversized
     * request is no slowdown.
     */
    private static final double MAX_RATIO_PER_RUN = 8;

    private final Settings settings;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ClassTable classes;
    private final LearnedStatistics learned;
    private double slowdown = 1;

    RunTimeEstimator(
            Settings settings,
            ControllerClock clock,
            CoreUsage cores,
            ClassTable classes,
            LearnedStatistics learned) {
        this.settings = settings;
        this.clock = clock;
        this.cores = cores;
        this.classes = classes;
        this.learned = learned;
    }

    /** Returns the expected run time on one free core under the current conditions, in ms. */
    double runMillis(ActiveRequest request) {
        return slowdown * baselineMillis(request);
    }

    /** Returns the expected run time without the slowdown of the current runs, in ms. */
    double baselineMillis(ActiveRequest request) {
        return learned.runMillis(request.statistics, request.spec);
    }

    /**
     * Returns the mean baseline of the current runs, in ms. It does not grow with the time that
     * they have taken.
     */
    double meanBaselineMillis(Collection<ActiveRequest> requests) {
        double sumMillis = 0;
        for (ActiveRequest request : requests) {
            sumMillis += request.isRunning() ? baselineMillis(request) : 0;
        }
        return sumMillis / Math.max(1, cores.running());
    }

    /**
     * Measures the slowdown: how far the core time that the current runs have received exceeds the
     * expected run times of their classes. Guards against a sudden slowdown, which completed runs
     * show too late. Several oversized requests at once look the same, and are slow work as well.
     */
    void measureSlowdown(Collection<ActiveRequest> requests) {
        double servedMillis = 0;
        double expectedMillis = 0;
        for (ActiveRequest request : requests) {
            if (request.isRunning()) {
                servedMillis +=
                        Math.min(
                                cores.servedMillis(request),
                                MAX_RATIO_PER_RUN * baselineMillis(request));
                expectedMillis += baselineMillis(request);
            }
        }
        slowdown =
                Math.max(1, expectedMillis > 0 ? servedMillis / (CALM_RATIO * expectedMillis) : 1);
    }

    /**
     * Learns from a run that succeeded. The first samples count equally, so that no single one
     * decides; later ones count by the weight of the moving average.
     */
    void learn(ActiveRequest request) {
        classes.update(
                request.statistics,
                request.spec,
                (statistics, spec) -> {
                    statistics.pausedMillis +=
                            Smoothing.RUN_WEIGHT * (request.pausedMillis - statistics.pausedMillis);
                    double sampleMillis = Math.max(1, cores.servedMillis(request));
                    statistics.runMillis =
                            Smoothing.blend(
                                    learned.runMillis(statistics, spec),
                                    sampleMillis,
                                    Math.max(Smoothing.RUN_WEIGHT, 1 / ++statistics.runSamples));
                    if (isCalm()) {
                        statistics.calmRunMillis =
                                Smoothing.blend(
                                        learned.calmRunMillis(statistics, spec),
                                        sampleMillis,
                                        Math.max(
                                                Smoothing.CALM_WEIGHT,
                                                1 / ++statistics.calmRunSamples));
                    }
                });
    }

    private boolean isCalm() {
        return cores.running() <= settings.cores()
                && (!settings.coldStart()
                        || clock.sinceStartMillis()
                                >= settings.operatingLimits().slowStartMillis());
    }
}
