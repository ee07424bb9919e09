package tinroad.changelog;

import java.io.IOException;

/** A batch that can't be used; the message says why, without the file's name. */
public final class CorruptChangeException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptChangeException(String message) {
        super(message);
    }
}
