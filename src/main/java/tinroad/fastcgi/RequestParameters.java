package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import tinroad.core.IncomingRequest;

/** The parameters of one request: name-value pairs, read once into the few values used. */
final class RequestParameters {
    private static final String PATH = "/v1/";
    private static final String HEALTH = "/healthz";
    private static final int FOUR_BYTE_LENGTH_FLAG = 0x80;
    private static final double MAX_MEMORY_KB = 2000;
    private static final int MAX_KEY_CHARACTERS = 128;
    private static final int MAX_TOKEN_CHARACTERS = 64;

    /** Upper bound of a client timeout, a day; a request with a longer one is malformed. */
    private static final double MAX_CLIENT_TIMEOUT_MILLIS = 86_400_000;

    private String method;
    private String script;
    private String id;
    private String time;
    private String from;
    private String owner;
    private String kb;
    private String rank;
    private String key;
    private String token;
    private String wait;
    private String retry;
    private boolean wellFormed;

    private RequestParameters() {}

    /** Takes one pair: has to read, or skip, exactly {@code length} bytes of value. */
    @FunctionalInterface
    interface Visitor {
        void pair(String name, ByteBuf in, int length);
    }

    /**
     * Reads the fields; if the pairs are truncated or a field is repeated, the request is
     * malformed.
     */
    static RequestParameters read(ByteBuf in) {
        RequestParameters parameters = new RequestParameters();
        parameters.wellFormed = true;
        // Not in one expression: a field given twice clears wellFormed during the call.
        boolean even = pairs(in, parameters::set);
        parameters.wellFormed &= even;
        return parameters;
    }

    /**
     * Reads all pairs; false if the last one is truncated: then the request is malformed, and the
     * connection stays in use.
     */
    static boolean pairs(ByteBuf in, Visitor visitor) {
        while (in.isReadable()) {
            int name = length(in);
            int value = name < 0 ? -1 : length(in);
            if (value < 0 || (long) name + value > in.readableBytes()) {
                return false;
            }
            visitor.pair(
                    in.readCharSequence(name, StandardCharsets.US_ASCII).toString(), in, value);
        }
        return true;
    }

    /** One byte, or four with the highest bit set; -1 where the input ends first. */
    private static int length(ByteBuf in) {
        if (!in.isReadable()) {
            return -1;
        }
        if (in.getUnsignedByte(in.readerIndex()) < FOUR_BYTE_LENGTH_FLAG) {
            return in.readUnsignedByte();
        }
        return in.readableBytes() < 4 ? -1 : in.readInt() & 0x7fffffff;
    }

    private void set(String name, ByteBuf in, int length) {
        switch (name) {
            case "REQUEST_METHOD" -> method = once(method, in, length);
            case "SCRIPT_NAME" -> script = once(script, in, length);
            case "HTTP_REQ_ID" -> id = once(id, in, length);
            case "HTTP_REQ_TIME" -> time = once(time, in, length);
            case "HTTP_REQ_FROM" -> from = once(from, in, length);
            case "HTTP_REQ_OWNER" -> owner = once(owner, in, length);
            case "HTTP_REQ_KB" -> kb = once(kb, in, length);
            case "HTTP_REQ_RANK" -> rank = once(rank, in, length);
            case "HTTP_REQ_KEY" -> key = once(key, in, length);
            case "HTTP_REQ_TOKEN" -> token = once(token, in, length);
            case "HTTP_REQ_WAIT_MS" -> wait = once(wait, in, length);
            case "HTTP_REQ_RETRY" -> retry = once(retry, in, length);
            default -> in.skipBytes(length);
        }
    }

    /**
     * Reads a value. Guards against a field given twice, which is ambiguous: the request is
     * malformed.
     */
    private String once(String before, ByteBuf in, int length) {
        wellFormed &= before == null;
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    boolean isHealthCheck() {
        return wellFormed && HEALTH.equals(script);
    }

    /** The request as the gateway takes it, or null if a field is missing or out of its range. */
    IncomingRequest toIncomingRequest(ByteBuf body) {
        if (!wellFormed
                || !"POST".equals(method)
                || script == null
                || !script.startsWith(PATH)
                || !isId(id)) {
            return null;
        }
        try {
            double arrivedAt = Long.parseLong(digits(time));
            int caller = Integer.parseInt(digits(from));
            double memoryKb = Double.parseDouble(decimal(kb));
            double priority = Double.parseDouble(decimal(rank));
            String resultKey = key == null || key.isEmpty() ? null : key;
            double clientTimeoutMillis =
                    wait == null ? Double.NaN : Double.parseDouble(decimal(wait));
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
                            script.substring(PATH.length()),
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
     * Guards against what Java reads as a number and the protocol does not: signs, NaN, exponents,
     * other digits.
     */
    private static String digits(String text) {
        return text != null && text.chars().allMatch(c -> c >= '0' && c <= '9') ? text : "";
    }

    private static String decimal(String text) {
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
