package tinroad.changelog;

import java.util.List;
import java.util.Optional;

/**
 * A change log can't be followed. There is a type for each cause. The message is the line for
 * operators, which the admin endpoint shows, too.
 */
abstract class ChangeLogException extends Exception {
    private static final long serialVersionUID = 1L;

    private ChangeLogException(String message) {
        super(message);
    }

    private ChangeLogException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The file of a change is corrupt. */
    static final class Corrupt extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        Corrupt(String logName, LogPosition position, CorruptChangeException cause) {
            super(logName + ": change " + position + " is damaged: " + cause.getMessage(), cause);
        }
    }

    /** A change is invalid, or does not follow the catalog in use. */
    static final class Rejected extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        Rejected(LogPosition position, List<String> errors) {
            super(ChangeDescription.rejected(position, errors));
        }

        Rejected(LogPosition position, String description) {
            super(description);
        }
    }

    /** Changes that have to be applied first are no longer in the log. */
    static final class Missing extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        Missing(String logName, LogPosition missing, LogPosition oldestAfter) {
            super(
                    logName
                            + ": "
                            + missing
                            + " is missing, the oldest change after it is "
                            + oldestAfter
                            + ": the settings file as it is now has to be read, by SIGHUP");
        }
    }

    /** The change at the current position leads to another content than the one in use. */
    static final class Diverged extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        Diverged(LogPosition position, String currentHash) {
            super(ChangeDescription.diverged(position, currentHash));
        }
    }

    /** A change of an earlier epoch was written after a higher epoch had begun. */
    static final class EpochOver extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        EpochOver(String logName, LogPosition late, long currentEpoch) {
            super(
                    logName
                            + ": change "
                            + late
                            + " came after its epoch was over: not taken, "
                            + currentEpoch
                            + " goes on");
        }
    }

    /** The log ends before a change that is known to have been in it. */
    static final class RolledBack extends ChangeLogException {
        private static final long serialVersionUID = 1L;

        RolledBack(String logName, LogPosition applied, Optional<LogPosition> newest) {
            super(
                    logName
                            + " was rolled back: "
                            + applied
                            + " was taken, and "
                            + newest.map(end -> "the newest is " + end).orElse("it is empty"));
        }
    }
}
