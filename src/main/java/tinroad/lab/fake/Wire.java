package tinroad.lab.fake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The client proxy's side of FastCGI 1.0: writes whole requests and parses responses. */
public final class Wire {
    /** Type of the record that ends a response. */
    public static final int END_REQUEST = 3;

    /** Type of a record with a part of a request body. */
    public static final int STDIN = 5;

    /** Type of a record with a part of a response. */
    public static final int STDOUT = 6;

    /** Length of the header of a record, in bytes. */
    public static final int HEADER = 8;

    private static final int BEGIN_REQUEST = 1;
    private static final int PARAMS = 4;

    /** Lengths from here on take four bytes, with this bit set in the first. */
    private static final int LONG_LENGTH = 0x80;

    private Wire() {}

    /** Writes a whole request with this number on its connection. */
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

    /** Writes the header of a record. */
    public static ByteBuf header(ByteBuf out, int type, int id, int length) {
        return out.writeByte(1).writeByte(type).writeShort(id).writeShort(length).writeShort(0);
    }

    private static void length(ByteBuf out, int length) {
        if (length < LONG_LENGTH) {
            out.writeByte(length);
        } else {
            out.writeInt(length | LONG_LENGTH << 24);
        }
    }

    /**
     * A CGI response.
     *
     * @param status the status, or 0 where the response can't be parsed
     * @param stayAwayMillis how long the gateway asks not to be chosen, or 0
     * @param noRetry whether the response asks that the request not be tried again
     * @param body the body
     */
    public record Response(int status, double stayAwayMillis, boolean noRetry, String body) {
        /** Parses the text of a response. */
        public static Response read(String text) {
            int end = text.indexOf("\r\n\r\n");
            if (end < 0 || !text.startsWith("Status: ")) {
                return new Response(0, 0, false, "");
            }
            int status = 0;
            double stayAwayMillis = 0;
            boolean noRetry = false;
            for (String line : text.substring(0, end).split("\r\n")) {
                String value = line.substring(line.indexOf(':') + 1).strip();
                if (line.startsWith("Status:")) {
                    status = Integer.parseInt(value.substring(0, 3));
                } else if (line.startsWith("Srv-Wait-Ms:")) {
                    stayAwayMillis = Double.parseDouble(value);
                } else if (line.startsWith("Srv-Last:")) {
                    noRetry = value.equals("1");
                }
            }
            return new Response(status, stayAwayMillis, noRetry, text.substring(end + 4));
        }
    }
}
