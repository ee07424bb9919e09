package tinroad.state;

import java.util.Optional;

/** The result of reading a state file: a snapshot, or the reason why the file was rejected. */
public sealed interface SnapshotReadResult {
    /** The snapshot, or empty if the file was rejected. */
    Optional<Snapshot> usable();

    /** A valid snapshot. */
    record Usable(Snapshot snapshot) implements SnapshotReadResult {
        @Override
        public Optional<Snapshot> usable() {
            return Optional.of(snapshot);
        }
    }

    /**
     * A file that was rejected.
     *
     * @param detail one line for operators
     */
    record Rejected(RejectionReason reason, String detail) implements SnapshotReadResult {
        @Override
        public Optional<Snapshot> usable() {
            return Optional.empty();
        }

        /**
         * Reason and detail in the form that log lines and the command {@code state verify} print.
         */
        public String description() {
            return reason.label() + ": " + detail;
        }
    }

    /** Why a file was rejected. */
    enum RejectionReason {
        /** The file is truncated or altered, or is not a state file. */
        CORRUPT("damaged"),
        /** The file was written by a later version of the program in an unknown format. */
        UNSUPPORTED_VERSION("foreign version"),
        /** The snapshot belongs to a gateway with another name. */
        OTHER_GATEWAY("anothers"),
        /**
         * The snapshot was saved later than now: the clock was set back, or the file came from
         * another machine.
         */
        IN_FUTURE("future"),
        /** The snapshot was saved longer ago than the configured maximum age. */
        TOO_OLD("too old"),
        /**
         * The snapshot belongs to an earlier incarnation than the fence knows: the folder was
         * rolled back.
         */
        ROLLED_BACK("rolled back");

        private final String label;

        RejectionReason(String label) {
            this.label = label;
        }

        /**
         * The reason in the form that commands and log lines print. Scripts of operators parse it.
         */
        public String label() {
            return label;
        }
    }
}
