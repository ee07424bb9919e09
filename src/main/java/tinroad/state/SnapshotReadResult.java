package tinroad.state;

import java.util.Optional;

/** What reading a file of state led to: a snapshot, or the reason why it can't be used. */
public sealed interface SnapshotReadResult {
    /** The snapshot, or empty where it was rejected. */
    Optional<Snapshot> usable();

    /** A snapshot that can be used. */
    record Usable(Snapshot snapshot) implements SnapshotReadResult {
        @Override
        public Optional<Snapshot> usable() {
            return Optional.of(snapshot);
        }
    }

    /**
     * A file that can't be used.
     *
     * @param detail for operators, in one line
     */
    record Rejected(RejectionReason reason, String detail) implements SnapshotReadResult {
        @Override
        public Optional<Snapshot> usable() {
            return Optional.empty();
        }

        /** Reason and detail, as log lines and the command {@code state verify} print them. */
        public String description() {
            return reason.label() + ": " + detail;
        }
    }

    /** Why a file is rejected. */
    enum RejectionReason {
        /** Truncated, altered, or not a file of state. */
        CORRUPT("damaged"),
        /** Written by a later version of the program in a format that this one does not know. */
        UNSUPPORTED_VERSION("foreign version"),
        /** Of a gateway with another name. */
        OTHER_GATEWAY("anothers"),
        /** Saved later than now: the clock was set back, or the file came from another machine. */
        IN_FUTURE("future"),
        /** Saved longer ago than the configured maximum age. */
        TOO_OLD("too old"),
        /** Of an earlier incarnation than the fence knows: the folder was rolled back. */
        ROLLED_BACK("rolled back");

        private final String label;

        RejectionReason(String label) {
            this.label = label;
        }

        /** As commands and log lines print it; scripts of operators read it. */
        public String label() {
            return label;
        }
    }
}
