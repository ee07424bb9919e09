package tinroad.lab.fake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The client proxy's side of FastCGI 1.0: whole requests out, and what a response says. */
public final class Wire {
    /** Types of records, and the length of a record's header. */
    public static final int END_REQUEST = 3;

    public static final int STDIN = 5;
    public static final int STDOUT = 6;
    public static final int HEADER = 8;
    private static final int BEGIN_REQUEST = 1;
    private static final int PARAMS = 4;
    private static final int SHORT = 0x80;

    private Wire() {}

    /** A whole request under this number of its connection. */
    public static ByteBuf request(
            ByteBufAllocator alloc, int id, Map<String, String> fields, byte[] body) {
        ByteBuf out = alloc.buffer();
        header(out, BEGIN_REQUEST, id, 8).writeShort(1).writeByte(1).writeZero(5);
        ByteBuf pairs = alloc.buffer();
        fields.forEach(
                (name, value) -> {
                    length(pairs, name.length());
                    length(pairs, value.length());
                    pairs.writeCharSequence(name, StandardCharsets.US_ASCII);
                    pairs.writeCharSequence(value, StandardCharsets.US_ASCII);
                });
        header(out, PARAMS, id, pairs.readableBytes()).writeBytes(pairs);
        pairs.release();
        header(out, PARAMS, id, 0);
        if (body.length > 0) {
            header(out, STDIN, id, body.length).writeBytes(body);
        }
        header(out, STDIN, id, 0);
        return out;
    }

    /** The header of a record. */
    public static ByteBuf header(ByteBuf out, int type, int id, int length) {
        return out.writeByte(1).writeByte(type).writeShort(id).writeShort(length).writeShort(0);
    }

    private static void length(ByteBuf out, int length) {
        if (length < SHORT) {
            out.writeByte(length);
        } else {
            out.writeInt(length | SHORT << 24);
        }
    }

    /**
     * A CGI response: status, or 0 where there is none to be read, the two fields that matter, and
     * the body.
     */
    public record Response(int status, double stayAway, boolean last, String body) {
        /** What this text says. */
        public static Response read(String text) {
            int end = text.indexOf("\r\n\r\n");
            if (end < 0 || !text.startsWith("Status: ")) {
                return new Response(0, 0, false, "");
            }
            int status = 0;
            double away = 0;
            boolean last = false;
            for (String line : text.substring(0, end).split("\r\n")) {
                String value = line.substring(line.indexOf(':') + 1).strip();
                if (line.startsWith("Status:")) {
                    status = Integer.parseInt(value.substring(0, 3));
                } else if (line.startsWith("Srv-Wait-Ms:")) {
                    away = Double.parseDouble(value);
                } else if (line.startsWith("Srv-Last:")) {
                    last = value.equals("1");
                }
            }
            return new Response(status, away, last, text.substring(end + 4));
        }
    }
}
