package tinroad.fastcgi;

import tinroad.core.Inbound;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** The parameters of one request: name-value pairs, read once into the few values used. */
final class Params {
    private static final String PATH = "/v1/";
    private static final String HEALTH = "/healthz";
    private static final int LONG_LENGTH = 0x80;
    private static final double MOST_KB = 2000;
    private static final int LONGEST_KEY = 128;

    private String method = "";
    private String script = "";
    private String id = "";
    private String time = "";
    private String from = "";
    private String owner = "";
    private String kb = "";
    private String rank = "";
    private String key;
    private boolean whole;

    private Params() { }

    /** Takes one pair: has to read, or skip, exactly {@code length} bytes of value. */
    @FunctionalInterface
    interface Visitor {
        void pair(String name, ByteBuf in, int length);
    }

    /** Reads the fields; what does not come out even is malformed as a whole. */
    static Params read(ByteBuf in) {
        Params params = new Params();
        params.whole = pairs(in, params::set);
        return params;
    }

    /** Reads all pairs; false where they don't come out even: then the request is malformed, not the connection. */
    static boolean pairs(ByteBuf in, Visitor visitor) {
        while (in.isReadable()) {
            int name = length(in);
            int value = name < 0 ? -1 : length(in);
            if (value < 0 || (long) name + value > in.readableBytes()) {
                return false;
            }
            visitor.pair(in.readCharSequence(name, StandardCharsets.US_ASCII).toString(), in, value);
        }
        return true;
    }

    /** One byte, or four with the highest bit set; -1 where the input ends first. */
    private static int length(ByteBuf in) {
        if (!in.isReadable()) {
            return -1;
        }
        if (in.getUnsignedByte(in.readerIndex()) < LONG_LENGTH) {
            return in.readUnsignedByte();
        }
        return in.readableBytes() < 4 ? -1 : in.readInt() & 0x7fffffff;
    }

    private void set(String name, ByteBuf in, int length) {
        switch (name) {
            case "REQUEST_METHOD" -> method = text(in, length);
            case "SCRIPT_NAME" -> script = text(in, length);
            case "HTTP_REQ_ID" -> id = text(in, length);
            case "HTTP_REQ_TIME" -> time = text(in, length);
            case "HTTP_REQ_FROM" -> from = text(in, length);
            case "HTTP_REQ_OWNER" -> owner = text(in, length);
            case "HTTP_REQ_KB" -> kb = text(in, length);
            case "HTTP_REQ_RANK" -> rank = text(in, length);
            case "HTTP_REQ_KEY" -> key = text(in, length);
            default -> in.skipBytes(length);
        }
    }

    private static String text(ByteBuf in, int length) {
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }

    boolean healthCheck() {
        return whole && script.equals(HEALTH);
    }

    /** The request in the gateway's own terms, or null where a field is missing or out of its range. */
    Inbound inbound(ByteBuf body) {
        if (!whole || !method.equals("POST") || !script.startsWith(PATH) || !isId(id)) {
            return null;
        }
        try {
            double arrivedAt = Long.parseLong(digits(time));
            int caller = Integer.parseInt(digits(from));
            double memoryKb = Double.parseDouble(decimal(kb));
            double order = Double.parseDouble(decimal(rank));
            String subject = key == null || key.isEmpty() ? null : key;
            boolean inRange = memoryKb > 0 && memoryKb < MOST_KB && order < 1
                    && (subject == null || subject.length() <= LONGEST_KEY);
            return !inRange ? null : new Inbound(id, arrivedAt, script.substring(PATH.length()), owner, caller,
                    memoryKb, order, subject, body);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Guards against what Java reads as a number and the protocol does not: signs, NaN, exponents, other digits. */
    private static String digits(String text) {
        return text.chars().allMatch(c -> c >= '0' && c <= '9') ? text : "";
    }

    private static String decimal(String text) {
        return text.chars().allMatch(c -> c >= '0' && c <= '9' || c == '.') ? text : "";
    }

    private static boolean isId(String text) {
        return text.length() == 16
                && text.chars().allMatch(c -> c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F');
    }
}
