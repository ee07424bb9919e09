package tinroad.overload;

import java.util.Collection;
import tinroad.overload.Controller.Settings;

/**
 * Expected run times, from the learned statistics of each class and from how far the runs under way
 * are over them.
 */
final class RunTimeEstimator {
    /**
     * Served time of the runs under way over their expected one that is still chance, for work of
     * skewed sizes.
     */
    private static final double CALM_RATIO = 1.5;

    /** One run counts for so many of its class at most: an oversized request is no slowdown. */
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

    /** Expected run on one free core as things are now, in ms. */
    double runMillis(ActiveRequest request) {
        return slowdown * baselineMillis(request);
    }

    /** The same without the slowdown of the runs under way. */
    double baselineMillis(ActiveRequest request) {
        return learned.runMillis(request.statistics, request.spec);
    }

    /** Mean baseline of the runs under way, in ms; not stretched by how long they have taken. */
    double meanBaselineMillis(Collection<ActiveRequest> requests) {
        double sumMillis = 0;
        for (ActiveRequest request : requests) {
            sumMillis += request.isRunning() ? baselineMillis(request) : 0;
        }
        return sumMillis / Math.max(1, cores.running());
    }

    /**
     * Guards against a sudden slowdown, which ended runs show too late: what runs now has been
     * served for longer than its class takes. Some oversized requests at once look the same, and
     * are slow work too.
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
     * Learns from a run that succeeded. The first samples count alike, so that no single one
     * decides; later ones by the average's weight.
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
                        || clock.sinceStartMillis() >= settings.rules().slowStartMillis());
    }
}
