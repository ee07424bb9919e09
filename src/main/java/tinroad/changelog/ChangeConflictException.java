package tinroad.changelog;

import java.io.IOException;

/**
 * A change can't be appended to the log, because it does not follow the newest one or its number is
 * taken.
 */
final class ChangeConflictException extends IOException {
    private static final long serialVersionUID = 1L;

    ChangeConflictException(LogPosition position, String reason) {
        super("change " + position + " " + reason);
    }
}
