package tinroad.recovery;

/**
 * Tracks the recovery phase of a gateway process. An engine that was started, with the gateway or
 * later, is observed through {@link SlowStart}. An engine that was already running counts as
 * recovered, unless the restored state was rejected. The tracker only observes and reports; it
 * limits nothing. Times are in ms. An instance must be used by one thread only.
 */
public final class RecoveryPhaseTracker {
    /**
     * The recovery phases. Their names in lower case are values that the admin endpoint reports.
     */
    public enum Phase {
        /** The engine has not been attached yet. */
        STARTING,
        /** The engine is a new process, and no run of it has completed yet. */
        COLD,
        /** Slow start: the engine demonstrates more and more throughput. */
        RAMPING,
        /** Slow start is over, or was not needed. */
        FULL,
        /** Graceful shutdown, which is the last phase, whatever the engine does. */
        DRAINING
    }

    private final int cores;
    private final boolean stateRejected;
    private double expectedRunMillis;

    /** The slow start of the engine that is observed, or null. */
    private SlowStart slowStart;

    private Phase phase = Phase.STARTING;
    private double sinceMillis;
    private double attachedAtMillis;
    private double fullAfterMillis = Double.NaN;
    private String reason = "the engine was never there";

    /**
     * Creates the tracker of a process that starts now.
     *
     * @param expectedRunMillis the expected time of a run before any has completed
     * @param stateRejected whether restored state was rejected, in which case an engine that was
     *     already running is observed, too
     */
    public RecoveryPhaseTracker(
            double nowMillis, int cores, double expectedRunMillis, boolean stateRejected) {
        this.cores = cores;
        this.expectedRunMillis = expectedRunMillis;
        this.stateRejected = stateRejected;
        sinceMillis = nowMillis;
    }

    /** Changes the expected time of a run, for engines that are observed from now on. */
    public void setExpectedRunMillis(double millis) {
        expectedRunMillis = millis;
    }

    /**
     * Records that the engine is attached; {@code newProcess} states whether this gateway has not
     * seen its process before.
     */
    public void engineAttached(double nowMillis, boolean newProcess) {
        if (phase == Phase.DRAINING || (phase != Phase.STARTING && !newProcess)) {
            return;
        }
        attachedAtMillis = nowMillis;
        if (newProcess || stateRejected) {
            slowStart = new SlowStart(nowMillis, cores, expectedRunMillis);
            enter(
                    Phase.COLD,
                    nowMillis,
                    newProcess ? "the engine has started" : "the restored state was rejected");
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

    /** Records that a request arrived, and was admitted or rejected. */
    public void requestArrived(boolean admitted) {
        if (slowStart != null) {
            slowStart.requestArrived(admitted);
        }
    }

    /** Records that a run has completed, whose class is expected to take {@code expectedMillis}. */
    public void runCompleted(double nowMillis, double tookMillis, double expectedMillis) {
        if (slowStart != null) {
            slowStart.runCompleted(nowMillis, tookMillis, expectedMillis);
            updateFromSlowStart(nowMillis);
        }
    }

    /** Updates the phase as time passes. It is to be called every few ms. */
    public void tick(double nowMillis) {
        if (slowStart != null) {
            slowStart.tick(nowMillis);
            updateFromSlowStart(nowMillis);
        }
    }

    private void updateFromSlowStart(double nowMillis) {
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

    /** Records that graceful shutdown has begun. */
    public void drainingBegan(double nowMillis) {
        slowStart = null;
        enter(Phase.DRAINING, nowMillis, "shutdown notice received");
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns when the phase began, in ms. */
    public double sinceMillis() {
        return sinceMillis;
    }

    /**
     * Returns the limit of {@link SlowStart} for the observed engine, in requests per second; NaN
     * while none is observed.
     */
    public double demonstratedRatePerSecond() {
        return slowStart == null ? Double.NaN : slowStart.limitPerSecond();
    }

    /**
     * Returns the time from the attachment of the engine to the end of slow start; 0 if there was
     * none, NaN while it is not over.
     */
    public double fullAfterMillis() {
        return phase == Phase.COLD || phase == Phase.RAMPING ? Double.NaN : fullAfterMillis;
    }

    /** Returns the reason for the phase, for operators. */
    public String reason() {
        return reason;
    }
}
