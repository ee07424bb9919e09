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

    private static final int SHORTEST = 16;
    private static final int MOST = 2;

    /** Whether it speaks with others. */
    public boolean enabled() {
        return listen != null;
    }

    /** One or two keys, each a line of Base64. */
    static List<byte[]> keys(Path file) throws OperatorException {
        List<byte[]> keys = new ArrayList<>();
        List<ValidationError> faults = new ArrayList<>();
        try {
            int line = 0;
            for (String text : Files.readAllLines(file, StandardCharsets.US_ASCII)) {
                line++;
                if (!text.isBlank() && !text.startsWith("#")) {
                    byte[] key = decoded(text.strip());
                    if (key == null || key.length < SHORTEST || keys.size() == MOST) {
                        faults.add(
                                new ValidationError(
                                        file.toString(),
                                        line,
                                        "",
                                        keys.size() == MOST
                                                ? "more than " + MOST + " keys"
                                                : "must be Base64 of "
                                                        + SHORTEST
                                                        + " bytes or more"));
                    } else {
                        keys.add(key);
                    }
                }
            }
        } catch (IOException e) {
            faults.add(
                    new ValidationError(
                            file.toString(),
                            1,
                            "",
                            "can't be read: "
                                    + (Files.exists(file) ? e.toString() : "no such file")));
        }
        if (keys.isEmpty() && faults.isEmpty()) {
            faults.add(
                    new ValidationError(file.toString(), 1, "", "holds no key: a line of Base64"));
        }
        if (!faults.isEmpty()) {
            throw new OperatorException(faults);
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
