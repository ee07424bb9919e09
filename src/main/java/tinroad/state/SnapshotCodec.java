package tinroad.state;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import tinroad.state.SnapshotReadResult.Rejected;
import tinroad.state.SnapshotReadResult.RejectionReason;
import tinroad.state.SnapshotReadResult.Usable;

/**
 * Encodes snapshots as bytes and decodes them: a header line with the name and the version of the
 * format, the length of the payload, the payload in CBOR (RFC 8949), and a CRC-32C of all of it.
 * Unknown fields are skipped; a later version of the format is not read at all.
 */
public final class SnapshotCodec {
    /** The version that is written, and the latest one that is read. */
    public static final int VERSION = 1;

    /** Maximum length of a file; a longer one is rejected without being read. */
    public static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final String MAGIC = "tinroad-state ";
    private static final int MAX_HEADER_BYTES = 32;
    private static final int CHECKSUM_BYTES = 4;

    // Names of the fields in the file. The file calls an incarnation a life, and "ran" contains the
    // executed ids.
    private static final String NAME = "name";
    private static final String INCARNATION = "life";
    private static final String GENERATION = "generation";
    private static final String SAVED_AT_MILLIS = "saved_at";
    private static final String EVACUATED = "evacuated";
    private static final String CATALOG_EPOCH = "catalog_epoch";
    private static final String CATALOG_NUMBER = "catalog_number";
    private static final String VALUES = "values";
    private static final String EXECUTED_IDS = "ran";

    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotCodec() {}

    /** Encodes a snapshot. */
    public static byte[] write(Snapshot snapshot) {
        return write(snapshot, VERSION);
    }

    static byte[] write(Snapshot snapshot, int version) {
        byte[] payload = payload(snapshot);
        byte[] header = (MAGIC + version + "\n").getBytes(StandardCharsets.US_ASCII);
        ByteBuffer file =
                ByteBuffer.allocate(
                        header.length + Integer.BYTES + payload.length + CHECKSUM_BYTES);
        file.put(header).putInt(payload.length).put(payload);
        return file.putInt(checksum(file.array(), file.position())).array();
    }

    private static byte[] payload(Snapshot snapshot) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(payload)) {
            out.writeStartObject();
            out.writeStringField(NAME, snapshot.name());
            out.writeNumberField(INCARNATION, snapshot.incarnation());
            out.writeNumberField(GENERATION, snapshot.generation());
            out.writeNumberField(SAVED_AT_MILLIS, snapshot.savedAtMillis());
            out.writeBooleanField(EVACUATED, snapshot.evacuated());
            out.writeNumberField(CATALOG_EPOCH, snapshot.catalogEpoch());
            out.writeNumberField(CATALOG_NUMBER, snapshot.catalogNumber());
            out.writeObjectFieldStart(VALUES);
            for (Map.Entry<String, LearnedValue> entry : snapshot.values().entrySet()) {
                LearnedValue learned = entry.getValue();
                out.writeFieldName(entry.getKey());
                out.writeStartArray();
                out.writeNumber(learned.value());
                out.writeNumber(learned.weight());
                out.writeNumber(learned.learnedAtMillis());
                out.writeNumber(learned.incarnation());
                out.writeEndArray();
            }
            out.writeEndObject();
            out.writeObjectFieldStart(EXECUTED_IDS);
            for (Map.Entry<String, Double> entry : snapshot.executedIds().entrySet()) {
                out.writeNumberField(entry.getKey(), entry.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            // Can't happen: the generator writes to memory.
            throw new UncheckedIOException(e);
        }
        return payload.toByteArray();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /**
     * Decodes a snapshot. If the bytes are not a valid snapshot, the result says why; never throws,
     * whatever the bytes are.
     */
    public static SnapshotReadResult read(byte[] bytes) {
        int headerEnd = 0;
        while (headerEnd < Math.min(bytes.length, MAX_HEADER_BYTES) && bytes[headerEnd] != '\n') {
            headerEnd++;
        }
        String header =
                new String(bytes, 0, Math.min(headerEnd, bytes.length), StandardCharsets.US_ASCII);
        int payloadStart = headerEnd + 1 + Integer.BYTES;
        if (!header.matches(MAGIC + "\\d{1,6}") || bytes.length < payloadStart + CHECKSUM_BYTES) {
            return corrupt("not a state file, or truncated: " + bytes.length + " bytes");
        }
        int payloadEnd = bytes.length - CHECKSUM_BYTES;
        if (ByteBuffer.wrap(bytes).getInt(payloadEnd) != checksum(bytes, payloadEnd)) {
            return corrupt("its checksum does not match its " + bytes.length + " bytes");
        }
        int version = Integer.parseInt(header.substring(MAGIC.length()));
        if (version > VERSION) {
            return new Rejected(
                    RejectionReason.UNSUPPORTED_VERSION,
                    "version " + version + ", and this program reads " + VERSION);
        }
        if (ByteBuffer.wrap(bytes).getInt(headerEnd + 1) != payloadEnd - payloadStart) {
            return corrupt("its length field does not match its " + bytes.length + " bytes");
        }
        try (JsonParser in =
                CBOR.createParser(Arrays.copyOfRange(bytes, payloadStart, payloadEnd))) {
            return new Usable(new PayloadReader(in).read());
        } catch (IOException | IllegalArgumentException e) {
            return corrupt("can't be read: " + e.getMessage());
        }
    }

    private static Rejected corrupt(String detail) {
        return new Rejected(RejectionReason.CORRUPT, detail);
    }

    /** Reads the payload, with its fields in any order. */
    private static final class PayloadReader {
        private final JsonParser in;
        private final Map<String, LearnedValue> values = new LinkedHashMap<>();
        private final Map<String, Double> executedIds = new LinkedHashMap<>();
        private String name = "";
        private long incarnation;
        private long generation;
        private double savedAtMillis = Double.NaN;
        private boolean evacuated;
        private long catalogEpoch;
        private long catalogNumber;

        PayloadReader(JsonParser in) {
            this.in = in;
        }

        Snapshot read() throws IOException {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("the payload is not an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case NAME -> name = in.getText();
                    case INCARNATION -> incarnation = in.getLongValue();
                    case GENERATION -> generation = in.getLongValue();
                    case SAVED_AT_MILLIS -> savedAtMillis = in.getDoubleValue();
                    case EVACUATED -> evacuated = in.getBooleanValue();
                    case CATALOG_EPOCH -> catalogEpoch = in.getLongValue();
                    case CATALOG_NUMBER -> catalogNumber = in.getLongValue();
                    case VALUES -> readValues();
                    case EXECUTED_IDS -> readExecutedIds();
                    default -> in.skipChildren();
                }
            }
            if (name.isEmpty() || incarnation < 1 || !Double.isFinite(savedAtMillis)) {
                throw new IllegalArgumentException("name, life or saved_at is missing");
            }
            return new Snapshot(
                    name,
                    incarnation,
                    generation,
                    savedAtMillis,
                    evacuated,
                    values,
                    executedIds,
                    catalogEpoch,
                    catalogNumber);
        }

        private void readValues() throws IOException {
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                in.nextToken();
                double value = nextDouble();
                double weight = nextDouble();
                double learnedAtMillis = nextDouble();
                in.nextToken();
                values.put(
                        key, new LearnedValue(value, weight, learnedAtMillis, in.getLongValue()));
                // A later version of the program may append to the array.
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    in.skipChildren();
                }
            }
        }

        private double nextDouble() throws IOException {
            in.nextToken();
            return in.getDoubleValue();
        }

        private void readExecutedIds() throws IOException {
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String id = in.currentName();
                in.nextToken();
                executedIds.put(id, in.getDoubleValue());
            }
        }
    }
}
