package tinroad.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * How a gateway speaks with the others of its fleet.
 *
 * @param listen where it hears datagrams; null: it speaks with nobody
 * @param seeds addresses that are known to begin with
 * @param zone that it is in
 * @param keys of the MAC, the first one signs; at least one
 */
public record FleetSettings(
        InetSocketAddress listen, List<String> seeds, String zone, List<byte[]> keys) {
    /** It speaks with nobody. */
    public static final FleetSettings NONE = new FleetSettings(null, List.of(), "", List.of());

    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEYS = 2;

    /** Whether it speaks with others. */
    public boolean enabled() {
        return listen != null;
    }

    /** One or two keys, each a line of Base64. */
    static List<byte[]> keys(Path file) throws OperatorException {
        List<byte[]> keys = new ArrayList<>();
        List<ValidationError> errors = new ArrayList<>();
        try {
            int line = 0;
            for (String text : Files.readAllLines(file, StandardCharsets.US_ASCII)) {
                line++;
                if (!text.isBlank() && !text.startsWith("#")) {
                    byte[] key = decoded(text.strip());
                    if (key == null || key.length < MIN_KEY_BYTES || keys.size() == MAX_KEYS) {
                        errors.add(
                                new ValidationError(
                                        file.toString(),
                                        line,
                                        "",
                                        keys.size() == MAX_KEYS
                                                ? "more than " + MAX_KEYS + " keys"
                                                : "must be Base64 of "
                                                        + MIN_KEY_BYTES
                                                        + " bytes or more"));
                    } else {
                        keys.add(key);
                    }
                }
            }
        } catch (IOException e) {
            errors.add(
                    new ValidationError(
                            file.toString(),
                            1,
                            "",
                            "can't be read: "
                                    + (Files.exists(file) ? e.toString() : "no such file")));
        }
        if (keys.isEmpty() && errors.isEmpty()) {
            errors.add(
                    new ValidationError(file.toString(), 1, "", "holds no key: a line of Base64"));
        }
        if (!errors.isEmpty()) {
            throw new OperatorException(errors);
        }
        return keys;
    }

    private static byte[] decoded(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
