package tinroad.changelog;

import java.io.IOException;

/**
 * The file of a change is corrupt, or was written by a later version of the program. The message
 * says why. The caller adds the position, which the command {@code catalog check} prints beside it.
 */
public final class CorruptChangeException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptChangeException(String message) {
        super(message);
    }
}
