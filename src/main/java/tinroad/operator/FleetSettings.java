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
 * Settings for the communication of a gateway with the others of its fleet.
 *
 * @param listen the address on which it receives datagrams; null if it does not communicate
 * @param seeds addresses of other gateways to contact first
 * @param zone the gateway's zone
 * @param keys the MAC keys, at least one; the first key signs what is sent
 */
public record FleetSettings(
        InetSocketAddress listen, List<String> seeds, String zone, List<byte[]> keys) {
    /** Settings of a gateway that does not communicate with others. */
    public static final FleetSettings NONE = new FleetSettings(null, List.of(), "", List.of());

    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEYS = 2;

    /** Whether the gateway communicates with others. */
    public boolean enabled() {
        return listen != null;
    }

    /** Reads one or two keys, each a line of Base64. */
    static List<byte[]> readKeys(Path file) throws OperatorException {
        List<byte[]> keys = new ArrayList<>();
        List<ValidationError> errors = new ArrayList<>();
        try {
            int line = 0;
            for (String text : Files.readAllLines(file, StandardCharsets.US_ASCII)) {
                line++;
                if (!text.isBlank() && !text.startsWith("#")) {
                    byte[] key = decodeBase64(text.strip());
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

    private static byte[] decodeBase64(String text) {
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
