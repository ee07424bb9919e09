package tinroad.state;

/** What a file of state turned out to be: a snapshot, or why it is none that can be used. */
public record SnapshotReadResult(Snapshot snapshot, RejectionReason reason, String text) {
    /** Why a file is set aside. */
    public enum RejectionReason {
        /** Cut short, changed, or never one of ours. */
        DAMAGED,
        /** Written by a later version, whose meaning is unknown. */
        FOREIGN_VERSION,
        /** Of a gateway with another name. */
        ANOTHERS,
        /** Saved later than now: the clock went back, or the file came from elsewhere. */
        FUTURE,
        /** Saved longer ago than is allowed. */
        TOO_OLD,
        /** Of an earlier life than one that is known to have been: the folder was rolled back. */
        ROLLED_BACK
    }

    /** A snapshot that can be used. */
    public static SnapshotReadResult of(Snapshot snapshot) {
        return new SnapshotReadResult(snapshot, null, "");
    }

    static SnapshotReadResult not(RejectionReason why, String text) {
        return new SnapshotReadResult(null, why, text);
    }
}
