package tinroad.overload;

import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.Settings;

/** Decides which runs are canceled. */
final class CancellationPolicy {
    /** A late run that took this many times its expected time counts as oversized. */
    private static final double OVERSIZED_RATIO = 2;

    private final Settings settings;
    private final Actions actions;
    private final CoreUsage cores;
    private final RunTimeEstimator estimator;

    CancellationPolicy(
            Settings settings, Actions actions, CoreUsage cores, RunTimeEstimator estimator) {
        this.settings = settings;
        this.actions = actions;
        this.cores = cores;
        this.estimator = estimator;
    }

    /** Cancels the run of a request where that is possible. */
    void cancel(ActiveRequest request) {
        if (settings.cancellationMode() != CancellationMode.NONE && request.isRunning()) {
            actions.cancel(request.id);
        }
    }

    /**
     * Whether a run past its objective may be canceled to free its core: the run is oversized, a
     * late answer has no weight, and the request may be run again. The caller has checked that the
     * objective has passed.
     */
    boolean mayCancelLate(ActiveRequest request) {
        boolean oversized =
                settings.cancellationMode() != CancellationMode.NONE
                        && cores.servedMillis(request)
                                > OVERSIZED_RATIO * estimator.baselineMillis(request);
        return oversized
                && request.isRunning()
                && request.spec.lateWeightShare() == 0
                && request.spec.idempotency() == Idempotency.IDEMPOTENT;
    }
}
