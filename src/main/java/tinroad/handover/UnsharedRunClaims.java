package tinroad.handover;

/**
 * The claims of a process that can't share them. It runs keyed requests only if no other process
 * listened on its address when it started, or if every such process has ended and its runs are past
 * their window.
 */
final class UnsharedRunClaims implements HandoverClaims {
    /** As described at {@link ClaimFile#unrecordedBeforeMillis}. */
    private volatile long unrecordedBeforeMillis;

    UnsharedRunClaims(ProcessStart start) {
        unrecordedBeforeMillis = start.besideAnotherListener() ? ClaimFile.UNRECORDED_UNTIL_NOW : 0;
    }

    @Override
    public Lookup find(Attempt attempt, double nowMillis) {
        return UnrecordedRuns.mayInclude(unrecordedBeforeMillis, attempt, nowMillis)
                ? Lookup.UNKNOWN
                : Lookup.NONE;
    }

    @Override
    public Lookup find(String idempotencyKey, double nowMillis) {
        return Lookup.NONE;
    }

    @Override
    public boolean claim(Attempt attempt, double expiresAtMillis, double nowMillis) {
        return !UnrecordedRuns.mayInclude(unrecordedBeforeMillis, attempt, nowMillis);
    }

    @Override
    public void release(String idempotencyKey) {}

    @Override
    public void complete(String idempotencyKey, byte[] result) {}

    @Override
    public void heartbeat(double nowMillis) {}

    @Override
    public void recordPredecessorsEnded(double nowMillis) {
        if (unrecordedBeforeMillis == ClaimFile.UNRECORDED_UNTIL_NOW) {
            unrecordedBeforeMillis = (long) Math.ceil(nowMillis);
        }
    }

    @Override
    public void close() {}
}
