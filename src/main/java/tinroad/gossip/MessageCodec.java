package tinroad.gossip;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Message;

/**
 * Messages as datagrams: a byte for the format, CBOR (RFC 8949), and the first 16 bytes of
 * HMAC-SHA-256 (RFC 2104) over both. Two keys are valid, so that one can be exchanged without a
 * moment in which members don't hear each other; the first one signs. Fields that a later version
 * adds are skipped. Owned by one thread.
 */
public final class MessageCodec {
    /** Longest datagram, in bytes: fits any path without being split. */
    public static final int MAX_DATAGRAM_BYTES = 1200;

    private static final byte FORMAT = 1;
    private static final int MAC = 16;
    private static final String ALGORITHM = "HmacSHA256";
    private static final int LONGEST_NAME = 64;
    private static final CBORFactory CBOR = new CBORFactory();

    private final List<Mac> macs = new ArrayList<>();

    /**
     * With these keys, each of at least 16 bytes; what is sent bears the first, what comes may bear
     * any.
     */
    public MessageCodec(List<byte[]> keys) {
        try {
            for (byte[] key : keys) {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(key, ALGORITHM));
                macs.add(mac);
            }
        } catch (GeneralSecurityException e) {
            // Can't happen: every Java platform has it, and any key of one byte and more will do.
            throw new IllegalStateException(e);
        }
    }

    /**
     * The datagram; claims that find no room are left out, the last ones first: they ride along
     * again.
     */
    public byte[] write(Message message) {
        int claims = message.updates().size();
        byte[] all = write(message, claims);
        while (all.length > MAX_DATAGRAM_BYTES && claims > 0) {
            claims -= Math.max(1, claims / 8);
            all = write(message, claims);
        }
        return all;
    }

    private byte[] write(Message message, int claims) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(FORMAT);
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray();
            if (message instanceof Message.Ping p) {
                head(to, "ping", p.number(), null);
            } else if (message instanceof Message.Ack a) {
                head(to, "ack", a.number(), null);
            } else if (message instanceof Message.Nack n) {
                head(to, "nack", n.number(), null);
            } else if (message instanceof Message.PingRequest a) {
                head(to, "ask", a.number(), a.address());
            } else if (message instanceof Message.Sync s) {
                head(to, s.replyWanted() ? "sync?" : "sync", 0, null);
            }
            to.writeStartArray();
            for (MemberUpdate c : message.updates().subList(0, claims)) {
                to.writeStartArray();
                to.writeString(c.name());
                to.writeString(c.address());
                to.writeString(c.zone());
                to.writeNumber(c.incarnation().process());
                to.writeNumber(c.incarnation().restart());
                to.writeNumber(c.incarnation().refutation());
                to.writeNumber(c.status().ordinal());
                to.writeString(c.by());
                to.writeEndArray();
            }
            to.writeEndArray();
            to.writeEndArray();
        } catch (IOException e) {
            // Can't happen: the target is memory.
            throw new UncheckedIOException(e);
        }
        byte[] body = out.toByteArray();
        byte[] all = Arrays.copyOf(body, body.length + MAC);
        System.arraycopy(macs.get(0).doFinal(body), 0, all, body.length, MAC);
        return all;
    }

    private static void head(JsonGenerator to, String kind, long number, String address)
            throws IOException {
        to.writeString(kind);
        to.writeNumber(number);
        to.writeString(address == null ? "" : address);
    }

    /**
     * The message in these bytes, or null where they are none of ours: too long, forged, damaged,
     * of an unknown kind.
     */
    public Message read(byte[] all) {
        int length = all.length - MAC;
        if (length < 2
                || all.length > MAX_DATAGRAM_BYTES
                || all[0] != FORMAT
                || !signed(all, length)) {
            return null;
        }
        try (JsonParser in = CBOR.createParser(all, 1, length - 1)) {
            return message(in);
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private boolean signed(byte[] all, int length) {
        byte[] found = Arrays.copyOfRange(all, length, all.length);
        boolean valid = false;
        for (Mac mac : macs) {
            mac.update(all, 0, length);
            // Both are tried whatever the first says, in constant time.
            valid |= MessageDigest.isEqual(found, Arrays.copyOf(mac.doFinal(), MAC));
        }
        return valid;
    }

    private static Message message(JsonParser in) throws IOException {
        expect(in, JsonToken.START_ARRAY);
        String kind = text(in);
        long number = number(in);
        String address = text(in);
        List<MemberUpdate> claims = new ArrayList<>();
        expect(in, JsonToken.START_ARRAY);
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String name = text(in);
            String at = text(in);
            String zone = text(in);
            MemberIncarnation version = new MemberIncarnation(number(in), small(in), small(in));
            int status = small(in);
            String by = text(in);
            // A later version may say more of a claim, or know a status that this one does not:
            // then it is no claim here.
            while (in.nextToken() != JsonToken.END_ARRAY) {
                in.skipChildren();
            }
            if (status < MemberStatus.values().length && !name.isEmpty()) {
                claims.add(
                        new MemberUpdate(
                                name, at, zone, version, MemberStatus.values()[status], by));
            }
        }
        return switch (kind) {
            case "ping" -> new Message.Ping(number, claims);
            case "ack" -> new Message.Ack(number, claims);
            case "nack" -> new Message.Nack(number, claims);
            case "ask" -> new Message.PingRequest(number, address, claims);
            case "sync" -> new Message.Sync(false, claims);
            case "sync?" -> new Message.Sync(true, claims);
            default -> null;
        };
    }

    private static void expect(JsonParser in, JsonToken token) throws IOException {
        if (in.nextToken() != token) {
            throw new IllegalArgumentException("no " + token);
        }
    }

    private static String text(JsonParser in) throws IOException {
        expect(in, JsonToken.VALUE_STRING);
        String text = in.getText();
        if (text.length() > LONGEST_NAME) {
            throw new IllegalArgumentException("a name of " + text.length());
        }
        return text;
    }

    private static long number(JsonParser in) throws IOException {
        expect(in, JsonToken.VALUE_NUMBER_INT);
        return in.getLongValue();
    }

    private static int small(JsonParser in) throws IOException {
        long value = number(in);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("out of range");
        }
        return (int) value;
    }
}
