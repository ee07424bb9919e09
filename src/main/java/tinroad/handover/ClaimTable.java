package tinroad.handover;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import tinroad.core.Digest;

/**
 * The claims of all processes in shared memory: a hash table of fixed size whose buckets are locked
 * one by one by its caller. A claim is written before its state, so that a process that is killed
 * while it writes leaves no half claim. Times are in Unix ms.
 */
final class ClaimTable {
    static final int BUCKETS = 1024;
    static final int BYTES = BUCKETS * Slot.BUCKET_BYTES;

    private final ByteBuffer memory;

    /** Uses this memory, which is zero at first. */
    ClaimTable(ByteBuffer memory) {
        this.memory = memory;
    }

    /** Layout of a claim. */
    private static final class Slot {
        static final int PER_BUCKET = 32;
        static final int DIGEST_BYTES = 2 * Long.BYTES;
        static final int KEY = 0;
        static final int FINGERPRINT = KEY + DIGEST_BYTES;
        static final int OWNER = FINGERPRINT + DIGEST_BYTES;
        static final int VALID_UNTIL = OWNER + Long.BYTES;
        static final int EXPIRES_AT = VALID_UNTIL + Double.BYTES;
        static final int RESULT_POSITION = EXPIRES_AT + Double.BYTES;
        static final int RESULT_DIGEST = RESULT_POSITION + Long.BYTES;
        static final int RESULT_LENGTH = RESULT_DIGEST + Long.BYTES;
        static final int STATE = RESULT_LENGTH + Integer.BYTES;
        static final int BYTES = STATE + Integer.BYTES;
        static final int BUCKET_BYTES = PER_BUCKET * BYTES;

        /** Values of {@link #STATE}. */
        static final int FREE = 0;

        static final int SUBMITTED = 1;
        static final int COMPLETED = 2;

        private Slot() {}
    }

    /** A claim as it is stored. */
    record Claim(
            Digest key,
            Digest fingerprint,
            long owner,
            double validUntilMillis,
            double expiresAtMillis,
            boolean completed,
            ResultRing.Location result) {}

    /** Returns the bucket of a key, which has to be locked for the calls below. */
    static int bucketOf(Digest key) {
        return Math.floorMod(key.high(), BUCKETS);
    }

    /** Returns the position of a key's claim, or -1 if there is none that has not expired. */
    int find(Digest key, double nowMillis) {
        int start = bucketOf(key) * Slot.BUCKET_BYTES;
        for (int at = start; at < start + Slot.BUCKET_BYTES; at += Slot.BYTES) {
            if (!isFree(at, nowMillis) && readDigest(at + Slot.KEY).equals(key)) {
                return at;
            }
        }
        return -1;
    }

    /** Returns a position for a new claim of this key, or -1 if its bucket is full. */
    int findFree(Digest key, double nowMillis) {
        int start = bucketOf(key) * Slot.BUCKET_BYTES;
        for (int at = start; at < start + Slot.BUCKET_BYTES; at += Slot.BYTES) {
            if (isFree(at, nowMillis)) {
                return at;
            }
        }
        return -1;
    }

    private boolean isFree(int at, double nowMillis) {
        return memory.getInt(at + Slot.STATE) == Slot.FREE
                || memory.getDouble(at + Slot.EXPIRES_AT) < nowMillis;
    }

    Claim read(int at) {
        return new Claim(
                readDigest(at + Slot.KEY),
                readDigest(at + Slot.FINGERPRINT),
                memory.getLong(at + Slot.OWNER),
                memory.getDouble(at + Slot.VALID_UNTIL),
                memory.getDouble(at + Slot.EXPIRES_AT),
                memory.getInt(at + Slot.STATE) == Slot.COMPLETED,
                new ResultRing.Location(
                        memory.getLong(at + Slot.RESULT_POSITION),
                        memory.getInt(at + Slot.RESULT_LENGTH),
                        memory.getLong(at + Slot.RESULT_DIGEST)));
    }

    /** Replaces what is stored at a position. */
    void write(int at, Claim claim) {
        free(at);
        writeDigest(at + Slot.KEY, claim.key());
        writeDigest(at + Slot.FINGERPRINT, claim.fingerprint());
        memory.putLong(at + Slot.OWNER, claim.owner());
        memory.putDouble(at + Slot.VALID_UNTIL, claim.validUntilMillis());
        memory.putDouble(at + Slot.EXPIRES_AT, claim.expiresAtMillis());
        writeResult(at, claim.result());
        writeState(at, claim.completed() ? Slot.COMPLETED : Slot.SUBMITTED);
    }

    /** Records the end of a claimed run. */
    void complete(int at, ResultRing.Location result) {
        writeResult(at, result);
        writeState(at, Slot.COMPLETED);
    }

    void free(int at) {
        writeState(at, Slot.FREE);
        VarHandle.fullFence();
    }

    private Digest readDigest(int at) {
        return new Digest(memory.getLong(at), memory.getLong(at + Long.BYTES));
    }

    private void writeDigest(int at, Digest digest) {
        memory.putLong(at, digest.high());
        memory.putLong(at + Long.BYTES, digest.low());
    }

    private void writeResult(int at, ResultRing.Location result) {
        memory.putLong(at + Slot.RESULT_POSITION, result.position());
        memory.putInt(at + Slot.RESULT_LENGTH, result.length());
        memory.putLong(at + Slot.RESULT_DIGEST, result.digest());
    }

    private void writeState(int at, int state) {
        VarHandle.fullFence();
        memory.putInt(at + Slot.STATE, state);
    }
}
