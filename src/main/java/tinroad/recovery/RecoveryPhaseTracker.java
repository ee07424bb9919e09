package tinroad.recovery;

/**
 * The recovery phase of a gateway process. An engine that was started, with the gateway or later,
 * is watched through {@link SlowStart}; one that was already running counts as recovered, unless
 * the restored state was rejected. It observes and reports only: nothing is limited by it. Times in
 * ms. Owned by one thread.
 */
public final class RecoveryPhaseTracker {
    /** The phases. Their names in lower case are values that the admin endpoint reports. */
    public enum Phase {
        /** The engine has not been attached yet. */
        STARTING,
        /** A new engine process, of which no run has completed. */
        COLD,
        /** Slow start: the engine shows more and more throughput. */
        RAMPING,
        /** Slow start is over, or was not needed. */
        FULL,
        /** Graceful shutdown; the last phase, whatever the engine does. */
        DRAINING
    }

    private final int cores;
    private final boolean distrustsState;
    private double expectedRunMillis;

    /** Of the engine that is watched, else null. */
    private SlowStart slowStart;

    private Phase phase = Phase.STARTING;
    private double sinceMillis;
    private double attachedAtMillis;
    private double fullAfterMillis = Double.NaN;
    private String reason = "the engine was never there";

    /**
     * A process that starts now.
     *
     * @param expectedRunMillis of a run, by what is known before any has completed
     * @param distrustsState whether restored state was rejected: then an engine that was already
     *     running is watched, too
     */
    public RecoveryPhaseTracker(
            double nowMillis, int cores, double expectedRunMillis, boolean distrustsState) {
        this.cores = cores;
        this.expectedRunMillis = expectedRunMillis;
        this.distrustsState = distrustsState;
        sinceMillis = nowMillis;
    }

    /** Changes what a run is expected to take, for an engine that is watched from now on. */
    public void setExpectedRunMillis(double millis) {
        expectedRunMillis = millis;
    }

    /** The engine is attached; {@code started}: as a process not seen before by this gateway. */
    public void engineAttached(double nowMillis, boolean started) {
        if (phase == Phase.DRAINING || (phase != Phase.STARTING && !started)) {
            return;
        }
        attachedAtMillis = nowMillis;
        if (started || distrustsState) {
            slowStart = new SlowStart(nowMillis, cores, expectedRunMillis);
            enter(
                    Phase.COLD,
                    nowMillis,
                    started ? "the engine has started" : "the restored state was rejected");
        } else {
            slowStart = null;
            fullAfterMillis = 0;
            enter(Phase.FULL, nowMillis, "the engine was already running");
        }
    }

    private void enter(Phase next, double nowMillis, String reason) {
        if (phase != next) {
            phase = next;
            sinceMillis = nowMillis;
        }
        this.reason = reason;
    }

    /** A request arrived, and was admitted or rejected. */
    public void requestArrived(boolean admitted) {
        if (slowStart != null) {
            slowStart.requestArrived(admitted);
        }
    }

    /** A run has completed, whose class is expected to take {@code expectedMillis}. */
    public void runCompleted(double nowMillis, double tookMillis, double expectedMillis) {
        if (slowStart != null) {
            slowStart.runCompleted(nowMillis, tookMillis, expectedMillis);
            followSlowStart(nowMillis);
        }
    }

    /** Lets time pass; to be called every few ms. */
    public void tick(double nowMillis) {
        if (slowStart != null) {
            slowStart.tick(nowMillis);
            followSlowStart(nowMillis);
        }
    }

    private void followSlowStart(double nowMillis) {
        if (phase == Phase.DRAINING) {
            return;
        }
        switch (slowStart.phase()) {
            case COLD -> reason = slowStart.reason();
            case RAMPING -> enter(Phase.RAMPING, nowMillis, slowStart.reason());
            case FULL -> {
                fullAfterMillis = nowMillis - attachedAtMillis;
                enter(Phase.FULL, nowMillis, slowStart.reason());
                slowStart = null;
            }
        }
    }

    /** Graceful shutdown has begun. */
    public void drainingBegan(double nowMillis) {
        slowStart = null;
        enter(Phase.DRAINING, nowMillis, "shutdown notice received");
    }

    /** The phase now. */
    public Phase phase() {
        return phase;
    }

    /** When the phase began, in ms. */
    public double sinceMillis() {
        return sinceMillis;
    }

    /**
     * The limit of {@link SlowStart} for the watched engine, in requests a second; NaN while none
     * is watched.
     */
    public double demonstratedRatePerSecond() {
        return slowStart == null ? Double.NaN : slowStart.ratePerSecondLimit();
    }

    /**
     * Time from the attachment of the engine to the end of slow start; 0 where there was none, NaN
     * while it is not over.
     */
    public double fullAfterMillis() {
        return phase == Phase.COLD || phase == Phase.RAMPING ? Double.NaN : fullAfterMillis;
    }

    /** What the phase rests on, for operators. */
    public String reason() {
        return reason;
    }
}
