package tinroad.recovery;

/**
 * The phases of one life of a gateway. An engine that was started, at the gateway's own start or
 * later, is watched until it has shown what it can do; one that was up all the time is taken at its
 * word, unless what this gateway remembers can't be trusted. Times in ms. Owned by one thread.
 */
public final class RecoveryPhaseTracker {
    /** Where a gateway stands. */
    public enum Phase {
        /** The engine was never there: nothing is taken. */
        STARTING,
        /** The engine has shown nothing yet. */
        COLD,
        /** The engine shows more and more. */
        RAMPING,
        /** It has shown what it can do. */
        FULL,
        /** A notice to leave has come; what the engine shows changes nothing any more. */
        DRAINING
    }

    private final int cores;
    private double usualRun;
    private final boolean distrusts;
    private SlowStart ramp;
    private Phase phase = Phase.STARTING;
    private double since;
    private double fullAfterMillis = Double.NaN;
    private double engineAt;
    private String reason = "the engine was never there";

    /**
     * A life that begins at {@code now}.
     *
     * @param usualRun ms that a run is expected to take, by what is known before any has ended
     * @param distrusts what was remembered is not believed: an engine that was up all the time is
     *     watched, too
     */
    public RecoveryPhaseTracker(double nowMillis, int cores, double usualRun, boolean distrusts) {
        this.cores = cores;
        this.usualRun = usualRun;
        this.distrusts = distrusts;
        since = nowMillis;
    }

    /**
     * What a run is expected to take by what is told now: an engine that is watched from now on is
     * judged by it.
     */
    public void setExpectedRunMillis(double ms) {
        usualRun = ms;
    }

    /**
     * The engine is there; {@code started} is whether that is a start of it which this gateway has
     * not seen yet.
     */
    public void engineAttached(double nowMillis, boolean started) {
        if (phase == Phase.DRAINING || (phase != Phase.STARTING && !started)) {
            return;
        }
        engineAt = nowMillis;
        if (started || distrusts) {
            ramp = new SlowStart(nowMillis, cores, usualRun);
            become(
                    Phase.COLD,
                    nowMillis,
                    started ? "the engine has started" : "what was remembered is not believed");
        } else {
            ramp = null;
            fullAfterMillis = 0;
            become(Phase.FULL, nowMillis, "the engine was up all the time");
        }
    }

    private void become(Phase next, double nowMillis, String reason) {
        if (phase != next) {
            phase = next;
            since = nowMillis;
        }
        this.reason = reason;
    }

    /** A request came, and was taken in or turned away. */
    public void requestArrived(boolean in) {
        if (ramp != null) {
            ramp.requestArrived(in);
        }
    }

    /** A run ended after {@code took}, where its class is expected to take {@code usual}. */
    public void runCompleted(double nowMillis, double took, double usual) {
        if (ramp != null) {
            ramp.runCompleted(nowMillis, took, usual);
            follow(nowMillis);
        }
    }

    /** Time passes. */
    public void tick(double nowMillis) {
        if (ramp != null) {
            ramp.tick(nowMillis);
            follow(nowMillis);
        }
    }

    private void follow(double nowMillis) {
        if (phase == Phase.DRAINING) {
            return;
        }
        switch (ramp.phase()) {
            case COLD -> reason = ramp.reason();
            case RAMPING -> become(Phase.RAMPING, nowMillis, ramp.reason());
            default -> {
                fullAfterMillis = nowMillis - engineAt;
                become(Phase.FULL, nowMillis, ramp.reason());
                ramp = null;
            }
        }
    }

    /** The notice to leave has come. */
    public void drainingBegan(double nowMillis) {
        ramp = null;
        become(Phase.DRAINING, nowMillis, "told to leave");
    }

    /** Where it stands. */
    public Phase phase() {
        return phase;
    }

    /** Since when. */
    public double since() {
        return since;
    }

    /**
     * What the watched engine has shown itself good for, in requests a second; NaN while none is
     * watched.
     */
    public double demonstratedRatePerSecond() {
        return ramp == null ? Double.NaN : ramp.ratePerSecondLimit();
    }

    /**
     * Time from the engine's last start to the end of the watch; 0 where there was none, NaN while
     * it is not over.
     */
    public double fullAfterMillis() {
        return phase == Phase.COLD || phase == Phase.RAMPING ? Double.NaN : fullAfterMillis;
    }

    /** Why it stands there, for operators. */
    public String reason() {
        return reason;
    }
}
