package tinroad.overload;

import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.Settings;

/** Computes the load hint that is sent with every answer, in the form that clients understand. */
final class LoadAdvertisement {
    /** Minimum change of the load hint, so that it is not set anew at every tick. */
    private static final double MIN_STEP = 0.05;

    /**
     * Requests that clients may have in flight here for each run that is allowed; more than one,
     * because some of them wait meanwhile.
     */
    private static final double TOKENS_PER_RUN = 2;

    private final Settings settings;
    private final Actions actions;
    private final HealthPolicy health;
    private final PriorityCutoff cutoff;
    private final ConcurrencyLimit limit;
    private double advertised;

    LoadAdvertisement(
            Settings settings,
            Actions actions,
            HealthPolicy health,
            PriorityCutoff cutoff,
            ConcurrencyLimit limit) {
        this.settings = settings;
        this.actions = actions;
        this.health = health;
        this.cutoff = cutoff;
        this.limit = limit;
    }

    /** Sets the load hint if it has changed by a step. */
    void update() {
        double closedShare = health.admissionClosed() ? 1 : cutoff.value();
        double hint =
                switch (settings.loadHint()) {
                    case NONE -> 0;
                    case MIN_RANK -> closedShare;
                    case TOKENS ->
                            limit.allowed()
                                    * (1 - closedShare)
                                    * TOKENS_PER_RUN
                                    / Math.max(1, settings.callers());
                    case BIAS -> 1 - closedShare;
                };
        if ((settings.loadHint() != LoadHint.NONE && Math.abs(hint - advertised) >= MIN_STEP)
                || (hint == 0 && advertised > 0)) {
            advertised = hint;
            actions.advertiseLoad(hint);
        }
    }
}
