package tinroad.changelog;

import java.io.IOException;

/** A batch that can't be used; the message says why, without the file's name. */
public final class DamagedException extends IOException {
    private static final long serialVersionUID = 1L;

    DamagedException(String message) {
        super(message);
    }
}
