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
import tinroad.state.SnapshotReadResult.RejectionReason;

/**
 * Snapshots as bytes: a line that names format and version, the length, CBOR (RFC 8949), and
 * CRC-32C over all of it. Fields that a later version adds are skipped; a later version of the
 * format is not read at all.
 */
public final class SnapshotCodec {
    /** The version that is written, and the latest that is read. */
    public static final int VERSION = 1;

    /** A longer file is no state: it is not read. */
    public static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final String MAGIC = "tinroad-state ";
    private static final int CHECK = 4;
    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotCodec() {}

    /** The bytes of a snapshot. */
    public static byte[] write(Snapshot s) {
        return write(s, VERSION);
    }

    static byte[] write(Snapshot s, int version) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(payload)) {
            out.writeStartObject();
            out.writeStringField("name", s.name());
            out.writeNumberField("life", s.incarnation());
            out.writeNumberField("generation", s.generation());
            out.writeNumberField("saved_at", s.savedAtMillis());
            out.writeBooleanField("evacuated", s.evacuated());
            out.writeNumberField("catalog_epoch", s.catalogEpoch());
            out.writeNumberField("catalog_number", s.catalogNumber());
            out.writeObjectFieldStart("values");
            for (Map.Entry<String, LearnedValue> e : s.values().entrySet()) {
                out.writeFieldName(e.getKey());
                out.writeStartArray();
                out.writeNumber(e.getValue().value());
                out.writeNumber(e.getValue().weight());
                out.writeNumber(e.getValue().learnedAtMillis());
                out.writeNumber(e.getValue().incarnation());
                out.writeEndArray();
            }
            out.writeEndObject();
            out.writeObjectFieldStart("ran");
            for (Map.Entry<String, Double> e : s.executedIds().entrySet()) {
                out.writeNumberField(e.getKey(), e.getValue());
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            // Can't happen: the target is memory.
            throw new UncheckedIOException(e);
        }
        byte[] head = (MAGIC + version + "\n").getBytes(StandardCharsets.US_ASCII);
        ByteBuffer all = ByteBuffer.allocate(head.length + Integer.BYTES + payload.size() + CHECK);
        all.put(head).putInt(payload.size()).put(payload.toByteArray());
        return all.putInt(check(all.array(), all.position())).array();
    }

    private static int check(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    /** The snapshot in these bytes, whatever they are. */
    public static SnapshotReadResult read(byte[] bytes) {
        int line = 0;
        while (line < Math.min(bytes.length, 32) && bytes[line] != '\n') {
            line++;
        }
        String head = new String(bytes, 0, Math.min(line, bytes.length), StandardCharsets.US_ASCII);
        if (!head.matches(MAGIC + "\\d{1,6}") || bytes.length < line + 1 + Integer.BYTES + CHECK) {
            return SnapshotReadResult.not(
                    RejectionReason.DAMAGED, "no state, or cut short: " + bytes.length + " bytes");
        }
        int end = bytes.length - CHECK;
        if (ByteBuffer.wrap(bytes).getInt(end) != check(bytes, end)) {
            return SnapshotReadResult.not(
                    RejectionReason.DAMAGED,
                    "its checksum does not fit its " + bytes.length + " bytes");
        }
        int version = Integer.parseInt(head.substring(MAGIC.length()));
        if (version > VERSION) {
            return SnapshotReadResult.not(
                    RejectionReason.FOREIGN_VERSION,
                    "version " + version + ", and this program reads " + VERSION);
        }
        int length = ByteBuffer.wrap(bytes).getInt(line + 1);
        if (length != end - line - 1 - Integer.BYTES) {
            return SnapshotReadResult.not(
                    RejectionReason.DAMAGED,
                    "its length does not fit its " + bytes.length + " bytes");
        }
        try (JsonParser in =
                CBOR.createParser(Arrays.copyOfRange(bytes, line + 1 + Integer.BYTES, end))) {
            return new Fields(in).read();
        } catch (IOException | IllegalArgumentException e) {
            return SnapshotReadResult.not(
                    RejectionReason.DAMAGED, "can't be read: " + e.getMessage());
        }
    }

    /** The fields as they come in. */
    private static final class Fields {
        private final JsonParser in;
        private final Map<String, LearnedValue> values = new LinkedHashMap<>();
        private final Map<String, Double> ran = new LinkedHashMap<>();
        private String name = "";
        private long life;
        private long generation;
        private double savedAt = Double.NaN;
        private boolean evacuated;
        private long epoch;
        private long number;

        Fields(JsonParser in) {
            this.in = in;
        }

        SnapshotReadResult read() throws IOException {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("no object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "name" -> name = in.getText();
                    case "life" -> life = in.getLongValue();
                    case "generation" -> generation = in.getLongValue();
                    case "saved_at" -> savedAt = in.getDoubleValue();
                    case "evacuated" -> evacuated = in.getBooleanValue();
                    case "catalog_epoch" -> epoch = in.getLongValue();
                    case "catalog_number" -> number = in.getLongValue();
                    case "values" -> values();
                    case "ran" -> ran();
                    default -> in.skipChildren();
                }
            }
            if (name.isEmpty() || life < 1 || !Double.isFinite(savedAt)) {
                throw new IllegalArgumentException("name, life or time is missing");
            }
            return SnapshotReadResult.of(
                    new Snapshot(
                            name,
                            life,
                            generation,
                            savedAt,
                            evacuated,
                            values,
                            ran,
                            epoch,
                            number));
        }

        private void values() throws IOException {
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                in.nextToken();
                double[] numbers = new double[3];
                for (int i = 0; i < numbers.length; i++) {
                    in.nextToken();
                    numbers[i] = in.getDoubleValue();
                }
                in.nextToken();
                values.put(
                        key,
                        new LearnedValue(numbers[0], numbers[1], numbers[2], in.getLongValue()));
                // A later version may say more of a value.
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    in.skipChildren();
                }
            }
        }

        private void ran() throws IOException {
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String id = in.currentName();
                in.nextToken();
                ran.put(id, in.getDoubleValue());
            }
        }
    }
}
