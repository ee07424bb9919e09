package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import tinroad.core.IncomingRequest;

/** Reads the parameters of one request, which are name-value pairs, into the few values used. */
final class RequestParameters {
    private static final String PATH_PREFIX = "/v1/";
    private static final String HEALTH_CHECK_PATH = "/healthz";
    private static final int FOUR_BYTE_LENGTH_FLAG = 0x80;
    private static final double MAX_MEMORY_KB = 2000;
    private static final int MAX_KEY_CHARACTERS = 128;
    private static final int MAX_TOKEN_CHARACTERS = 64;

    /** Upper bound of the parameters of one request; one with more is malformed. */
    static final int MAX_PARAMETERS = 256;

    /** Upper bound of a client timeout: one day. A request with a longer one is malformed. */
    private static final double MAX_CLIENT_TIMEOUT_MILLIS = 86_400_000;

    // Values as they came, null if missing.
    private String method;
    private String scriptName;
    private String id;
    private String time;
    private String from;
    private String owner;
    private String kilobytes;
    private String rank;
    private String key;
    private String token;
    private String waitMillis;
    private String retry;
    private boolean wellFormed;

    private RequestParameters() {}

    /** Receives one pair, and has to read or skip exactly {@code length} bytes of its value. */
    @FunctionalInterface
    interface Visitor {
        void visit(String name, ByteBuf in, int length);
    }

    /**
     * Reads the parameters. If a pair is truncated or a parameter is repeated, the request is
     * malformed.
     */
    static RequestParameters read(ByteBuf in) {
        RequestParameters parameters = new RequestParameters();
        parameters.wellFormed = true;
        // Two statements, because a repeated parameter clears wellFormed during the call.
        boolean complete = readPairs(in, parameters::readField);
        parameters.wellFormed &= complete;
        return parameters;
    }

    /**
     * Reads all pairs; false if the last one is truncated, or if there are more than {@link
     * #MAX_PARAMETERS}. The request is malformed then, but the connection can still be used.
     */
    static boolean readPairs(ByteBuf in, Visitor visitor) {
        for (int pairs = 0; in.isReadable(); pairs++) {
            if (pairs == MAX_PARAMETERS) {
                return false;
            }
            int nameLength = readLength(in);
            int valueLength = nameLength < 0 ? -1 : readLength(in);
            if (valueLength < 0 || (long) nameLength + valueLength > in.readableBytes()) {
                return false;
            }
            visitor.visit(
                    in.readCharSequence(nameLength, StandardCharsets.US_ASCII).toString(),
                    in,
                    valueLength);
        }
        return true;
    }

    /** Reads a length: one byte, or four with the highest bit set; -1 if the input is too short. */
    private static int readLength(ByteBuf in) {
        if (!in.isReadable()) {
            return -1;
        }
        if (in.getUnsignedByte(in.readerIndex()) < FOUR_BYTE_LENGTH_FLAG) {
            return in.readUnsignedByte();
        }
        return in.readableBytes() < 4 ? -1 : in.readInt() & 0x7fffffff;
    }

    private void readField(String name, ByteBuf in, int length) {
        switch (name) {
            case "REQUEST_METHOD" -> method = readOnce(method, in, length);
            case "SCRIPT_NAME" -> scriptName = readOnce(scriptName, in, length);
            case "HTTP_REQ_ID" -> id = readOnce(id, in, length);
            case "HTTP_REQ_TIME" -> time = readOnce(time, in, length);
            case "HTTP_REQ_FROM" -> from = readOnce(from, in, length);
            case "HTTP_REQ_OWNER" -> owner = readOnce(owner, in, length);
            case "HTTP_REQ_KB" -> kilobytes = readOnce(kilobytes, in, length);
            case "HTTP_REQ_RANK" -> rank = readOnce(rank, in, length);
            case "HTTP_REQ_KEY" -> key = readOnce(key, in, length);
            case "HTTP_REQ_TOKEN" -> token = readOnce(token, in, length);
            case "HTTP_REQ_WAIT_MS" -> waitMillis = readOnce(waitMillis, in, length);
            case "HTTP_REQ_RETRY" -> retry = readOnce(retry, in, length);
            default -> in.skipBytes(length);
        }
    }

    /**
     * Reads a value. A parameter that is given twice is ambiguous, so it makes the request
     * malformed.
     */
    private String readOnce(String previous, ByteBuf in, int length) {
        wellFormed &= previous == null;
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    boolean isHealthCheck() {
        return wellFormed && HEALTH_CHECK_PATH.equals(scriptName);
    }

    /** Converts to a request for the gateway; null if a field is missing or out of its range. */
    IncomingRequest toIncomingRequest(ByteBuf body) {
        if (!wellFormed
                || !"POST".equals(method)
                || scriptName == null
                || !scriptName.startsWith(PATH_PREFIX)
                || !isId(id)) {
            return null;
        }
        try {
            double arrivedAt = Long.parseLong(digitsOrEmpty(time));
            int caller = Integer.parseInt(digitsOrEmpty(from));
            double memoryKb = Double.parseDouble(decimalOrEmpty(kilobytes));
            double priority = Double.parseDouble(decimalOrEmpty(rank));
            String resultKey = key == null || key.isEmpty() ? null : key;
            double clientTimeoutMillis =
                    waitMillis == null
                            ? Double.NaN
                            : Double.parseDouble(decimalOrEmpty(waitMillis));
            boolean inRange =
                    memoryKb > 0
                            && memoryKb < MAX_MEMORY_KB
                            && priority < 1
                            && !(clientTimeoutMillis > MAX_CLIENT_TIMEOUT_MILLIS)
                            && (resultKey == null || resultKey.length() <= MAX_KEY_CHARACTERS)
                            && (token == null || isToken(token))
                            && (retry == null || retry.equals("0") || retry.equals("1"));
            return !inRange
                    ? null
                    : new IncomingRequest(
                            id,
                            arrivedAt,
                            scriptName.substring(PATH_PREFIX.length()),
                            owner == null ? "" : owner,
                            caller,
                            memoryKb,
                            priority,
                            resultKey,
                            token,
                            clientTimeoutMillis,
                            "1".equals(retry),
                            body);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /**
     * Returns the text if it consists of decimal digits, otherwise an empty text, which is no
     * number. Java's parsers also accept signs, NaN, exponents and other digits, which the protocol
     * does not allow.
     */
    private static String digitsOrEmpty(String text) {
        return text != null && text.chars().allMatch(c -> c >= '0' && c <= '9') ? text : "";
    }

    private static String decimalOrEmpty(String text) {
        return text != null && text.chars().allMatch(c -> (c >= '0' && c <= '9') || c == '.')
                ? text
                : "";
    }

    private static boolean isId(String text) {
        return text != null && text.length() == 16 && isHex(text);
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && text.length() <= MAX_TOKEN_CHARACTERS && isHex(text);
    }

    private static boolean isHex(String text) {
        return text.chars()
                .allMatch(
                        c ->
                                (c >= '0' && c <= '9')
                                        || (c >= 'a' && c <= 'f')
                                        || (c >= 'A' && c <= 'F'));
    }
}
