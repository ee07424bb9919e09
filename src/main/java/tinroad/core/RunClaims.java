package tinroad.core;

import io.netty.buffer.ByteBuf;

/**
 * The claims on runs of keyed requests that all processes of one gateway share. While a new version
 * takes over, two processes serve the same clients, and the attempts of one request may reach
 * either of them; a run is submitted only after its key was claimed here. All methods are called on
 * the event loop and must not block. Times are in Unix ms.
 */
public interface RunClaims {
    /** The claims of a gateway that is a single process: its own table is all there is to know. */
    RunClaims SINGLE_PROCESS =
            new RunClaims() {
                @Override
                public Lookup find(Attempt attempt, double nowMillis) {
                    return Lookup.NONE;
                }

                @Override
                public Lookup find(String idempotencyKey, double nowMillis) {
                    return Lookup.NONE;
                }

                @Override
                public boolean claim(Attempt attempt, double expiresAtMillis, double nowMillis) {
                    return true;
                }

                @Override
                public void release(String idempotencyKey) {}

                @Override
                public void complete(String idempotencyKey, byte[] result) {}

                @Override
                public void heartbeat(double nowMillis) {}
            };

    /**
     * One attempt of a keyed request.
     *
     * @param idempotencyKey the key that all attempts of the request carry
     * @param fingerprint equal for attempts with the same class and body
     * @param arrivedAtMillis the arrival that the attempt states
     * @param windowMillis how long after the arrival of the attempt that runs no other one may run
     */
    record Attempt(
            String idempotencyKey,
            Digest fingerprint,
            double arrivedAtMillis,
            double windowMillis) {
        /**
         * Returns whether the window of a run that ends then is over for this attempt. If the
         * arrival that the attempt states is earlier than the current time, that arrival counts, so
         * that an attempt that was written within the window and is read after it does not run.
         */
        public boolean isAfterWindow(double windowEndMillis, double nowMillis) {
            return Math.min(nowMillis, arrivedAtMillis)
                    > windowEndMillis + IdempotencyTable.WINDOW_MARGIN_MILLIS;
        }
    }

    /** What the other processes are known to have done with a key. */
    record Lookup(State state, PeerRun run) {
        /** How much is known. */
        public enum State {
            /** No other process has submitted a run. */
            NONE,
            /** Another process has submitted a run. */
            SUBMITTED,
            /** Another process may have submitted a run. */
            UNKNOWN
        }

        /** No other process has submitted a run. */
        public static final Lookup NONE = new Lookup(State.NONE, null);

        /** Another process may have submitted a run. */
        public static final Lookup UNKNOWN = new Lookup(State.UNKNOWN, null);

        /** Returns that another process has submitted this run. */
        public static Lookup of(PeerRun run) {
            return new Lookup(State.SUBMITTED, run);
        }
    }

    /**
     * A run that another process has submitted.
     *
     * @param fingerprint that of the attempt that runs
     * @param validUntilMillis the end of the window in which no other attempt may run
     * @param expiresAtMillis after this time the key may be removed
     * @param completed whether the run has ended
     * @param result its result; null if there is none, or it is not available
     */
    record PeerRun(
            Digest fingerprint,
            double validUntilMillis,
            double expiresAtMillis,
            boolean completed,
            ByteBuf result) {}

    /** Returns what the other processes have done with the key of this attempt. */
    Lookup find(Attempt attempt, double nowMillis);

    /** Returns the same for a key alone, without regard to runs of which nothing is recorded. */
    Lookup find(String idempotencyKey, double nowMillis);

    /**
     * Claims the run of an attempt for this process; its window counts from its arrival. False if
     * another process has claimed it or may have, or if there is no capacity for the claim. The run
     * must not be submitted then.
     */
    boolean claim(Attempt attempt, double expiresAtMillis, double nowMillis);

    /** Releases a claim of this process whose run was not submitted, or not carried out. */
    void release(String idempotencyKey);

    /** Completes a run that this process has claimed; {@code result} is null if it has none. */
    void complete(String idempotencyKey, byte[] result);

    /** Records that this process is alive. */
    void heartbeat(double nowMillis);
}
