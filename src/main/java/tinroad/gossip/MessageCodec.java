package tinroad.gossip;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Message;

/**
 * Encodes messages as datagrams and decodes them: one byte for the version of the format, the
 * message in CBOR (RFC 8949), and an authentication tag over both. Fields that a later version
 * appends are skipped. Used by one thread.
 */
public final class MessageCodec {
    /**
     * Maximum length of a datagram in bytes: small enough for any network path without
     * fragmentation.
     */
    public static final int MAX_DATAGRAM_BYTES = 1200;

    private static final byte FORMAT_VERSION = 1;
    private static final int MAX_TEXT_CHARS = 64;
    private static final CBORFactory CBOR = new CBORFactory();

    // Types of messages on the wire.
    private static final String PING = "ping";
    private static final String ACK = "ack";
    private static final String NACK = "nack";
    private static final String PING_REQUEST = "ask";
    private static final String SYNC = "sync";
    private static final String SYNC_WITH_REPLY = "sync?";

    // Codes of a member's status on the wire.
    private static final int STATUS_ALIVE = 0;
    private static final int STATUS_SUSPECT = 1;
    private static final int STATUS_DEAD = 2;
    private static final int STATUS_LEFT = 3;

    private final DatagramAuthenticator authenticator;

    /**
     * Creates a codec with these keys, each of at least 16 bytes. The first one signs what is sent;
     * any of them is accepted in what is received.
     */
    public MessageCodec(List<byte[]> keys) {
        authenticator = new DatagramAuthenticator(keys);
    }

    /**
     * Encodes a message as a datagram. If the updates don't all fit, the last ones are left out:
     * they are piggybacked on a later message.
     */
    public byte[] write(Message message) {
        int updateCount = message.updates().size();
        byte[] datagram = write(message, updateCount);
        while (datagram.length > MAX_DATAGRAM_BYTES && updateCount > 0) {
            updateCount -= Math.max(1, updateCount / 8);
            datagram = write(message, updateCount);
        }
        return datagram;
    }

    private byte[] write(Message message, int updateCount) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(FORMAT_VERSION);
        try (JsonGenerator cbor = CBOR.createGenerator(body)) {
            cbor.writeStartArray();
            writeHeader(cbor, message);
            cbor.writeStartArray();
            for (MemberUpdate update : message.updates().subList(0, updateCount)) {
                writeUpdate(cbor, update);
            }
            cbor.writeEndArray();
            cbor.writeEndArray();
        } catch (IOException e) {
            // Can't happen: the generator writes to memory.
            throw new UncheckedIOException(e);
        }
        return authenticator.sign(body.toByteArray());
    }

    private static void writeHeader(JsonGenerator cbor, Message message) throws IOException {
        if (message instanceof Message.Ping ping) {
            writeHeader(cbor, PING, ping.sequenceNumber(), "");
        } else if (message instanceof Message.Ack ack) {
            writeHeader(cbor, ACK, ack.sequenceNumber(), "");
        } else if (message instanceof Message.Nack nack) {
            writeHeader(cbor, NACK, nack.sequenceNumber(), "");
        } else if (message instanceof Message.PingRequest request) {
            String address = request.address();
            writeHeader(
                    cbor, PING_REQUEST, request.sequenceNumber(), address == null ? "" : address);
        } else if (message instanceof Message.Sync sync) {
            writeHeader(cbor, sync.replyWanted() ? SYNC_WITH_REPLY : SYNC, 0, "");
        }
    }

    private static void writeHeader(JsonGenerator cbor, String type, long number, String address)
            throws IOException {
        cbor.writeString(type);
        cbor.writeNumber(number);
        cbor.writeString(address);
    }

    private static void writeUpdate(JsonGenerator cbor, MemberUpdate update) throws IOException {
        cbor.writeStartArray();
        cbor.writeString(update.name());
        cbor.writeString(update.address());
        cbor.writeString(update.zone());
        cbor.writeNumber(update.incarnation().process());
        cbor.writeNumber(update.incarnation().restart());
        cbor.writeNumber(update.incarnation().refutation());
        cbor.writeNumber(statusCode(update.status()));
        cbor.writeString(update.by());
        cbor.writeEndArray();
    }

    private static int statusCode(MemberStatus status) {
        return switch (status) {
            case ALIVE -> STATUS_ALIVE;
            case SUSPECT -> STATUS_SUSPECT;
            case DEAD -> STATUS_DEAD;
            case LEFT -> STATUS_LEFT;
        };
    }

    /**
     * Returns the status with this code, or null if the code is unknown, as a later version may add
     * one.
     */
    private static MemberStatus status(int code) {
        return switch (code) {
            case STATUS_ALIVE -> MemberStatus.ALIVE;
            case STATUS_SUSPECT -> MemberStatus.SUSPECT;
            case STATUS_DEAD -> MemberStatus.DEAD;
            case STATUS_LEFT -> MemberStatus.LEFT;
            default -> null;
        };
    }

    /**
     * Decodes the message in a datagram. Returns null if the datagram is not valid: too long,
     * forged, damaged, or of an unknown type.
     */
    public Message read(byte[] datagram) {
        int bodyLength = datagram.length - DatagramAuthenticator.TAG_BYTES;
        if (bodyLength < 2
                || datagram.length > MAX_DATAGRAM_BYTES
                || datagram[0] != FORMAT_VERSION
                || !authenticator.verify(datagram, bodyLength)) {
            return null;
        }
        try (JsonParser cbor = CBOR.createParser(datagram, 1, bodyLength - 1)) {
            return readMessage(cbor);
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private static Message readMessage(JsonParser cbor) throws IOException {
        expect(cbor, JsonToken.START_ARRAY);
        String type = readText(cbor);
        long number = readLong(cbor);
        String address = readText(cbor);
        List<MemberUpdate> updates = new ArrayList<>();
        expect(cbor, JsonToken.START_ARRAY);
        while (cbor.nextToken() == JsonToken.START_ARRAY) {
            MemberUpdate update = readUpdate(cbor);
            if (update != null) {
                updates.add(update);
            }
        }
        return switch (type) {
            case PING -> new Message.Ping(number, updates);
            case ACK -> new Message.Ack(number, updates);
            case NACK -> new Message.Nack(number, updates);
            case PING_REQUEST -> new Message.PingRequest(number, address, updates);
            case SYNC -> new Message.Sync(false, updates);
            case SYNC_WITH_REPLY -> new Message.Sync(true, updates);
            default -> null;
        };
    }

    /**
     * Reads the update in the current array. Returns null if it has no name or an unknown status.
     */
    private static MemberUpdate readUpdate(JsonParser cbor) throws IOException {
        String name = readText(cbor);
        String address = readText(cbor);
        String zone = readText(cbor);
        MemberIncarnation incarnation =
                new MemberIncarnation(
                        readLong(cbor), readNonNegativeInt(cbor), readNonNegativeInt(cbor));
        MemberStatus status = status(readNonNegativeInt(cbor));
        String claimant = readText(cbor);
        // A later version may append fields.
        while (cbor.nextToken() != JsonToken.END_ARRAY) {
            cbor.skipChildren();
        }
        return status == null || name.isEmpty()
                ? null
                : new MemberUpdate(name, address, zone, incarnation, status, claimant);
    }

    private static void expect(JsonParser cbor, JsonToken expected) throws IOException {
        JsonToken found = cbor.nextToken();
        if (found != expected) {
            throw new IllegalArgumentException("expected " + expected + ", found " + found);
        }
    }

    private static String readText(JsonParser cbor) throws IOException {
        expect(cbor, JsonToken.VALUE_STRING);
        String text = cbor.getText();
        if (text.length() > MAX_TEXT_CHARS) {
            throw new IllegalArgumentException("text too long: " + text.length() + " characters");
        }
        return text;
    }

    private static long readLong(JsonParser cbor) throws IOException {
        expect(cbor, JsonToken.VALUE_NUMBER_INT);
        return cbor.getLongValue();
    }

    private static int readNonNegativeInt(JsonParser cbor) throws IOException {
        long value = readLong(cbor);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("out of range: " + value);
        }
        return (int) value;
    }
}
