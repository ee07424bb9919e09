package tinroad.overload;

import tinroad.overload.Controller.Settings;

/**
 * Decides by when each request has to be answered (its own deadline or, while draining, the time of
 * the shutdown), and which requests are no longer run.
 */
final class DrainPolicy {
    private final Settings settings;
    private double drainingSinceMillis = Double.MAX_VALUE;
    private double shutdownAtMillis = Double.MAX_VALUE;

    DrainPolicy(Settings settings) {
        this.settings = settings;
    }

    void beginDraining(double nowMillis, double shutdownAtMillis) {
        drainingSinceMillis = nowMillis;
        this.shutdownAtMillis = shutdownAtMillis;
    }

    boolean isDraining() {
        return drainingSinceMillis < Double.MAX_VALUE;
    }

    /** The last time at which the request can be answered safely before its deadline. */
    double answerByMillis(ActiveRequest request) {
        double marginMillis = OverloadController.TICK_MILLIS + 2 * settings.clockStepMillis();
        return Math.min(request.deadlineAtMillis, shutdownAtMillis) - marginMillis;
    }

    /**
     * Whether the request may no longer be run. The rule on draining is that nothing that arrived
     * after the grace period is run; nor is a request that has to be answered at once.
     */
    boolean isTooLate(ActiveRequest request, double nowMillis) {
        return request.arrivedAtMillis
                        > drainingSinceMillis
                                + settings.operatingLimits().drainGraceMillis()
                                - settings.clockStepMillis()
                || nowMillis >= answerByMillis(request);
    }
}
