package tinroad.changelog;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.items;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import tinroad.catalog.CatalogChange;
import tinroad.config.SiteReader;
import tinroad.config.SiteVisitor;
import tinroad.config.SiteWriter;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Encodes changes as bytes and decodes them: a header line with the name and the version of the
 * format and a CRC-32C of version and body, then the body, one JSON object. The {@code put} field
 * has the form of the settings, and is read by the reader of the settings. What was read is used
 * only after the checksum of all bytes has been verified.
 */
final class ChangeCodec {
    /** The version that is written, and the latest one that is read. */
    static final int VERSION = 1;

    /** Maximum length of a file; a longer one is neither written nor read. */
    static final int MAX_BYTES = 32 * 1024 * 1024;

    private static final String MAGIC = "tinroad-change";
    private static final Pattern HEADER = Pattern.compile(MAGIC + " (\\d{1,6}) ([0-9a-f]{8})");
    private static final int MAX_HEADER_BYTES = 64;

    // Names of the fields in the file. The file calls tenants orgs.
    private static final String EPOCH = "epoch";
    private static final String NUMBER = "number";
    private static final String HASH_BEFORE = "before";
    private static final String HASH_AFTER = "after";
    private static final String REMOVED = "remove";
    private static final String REMOVED_CLASSES = "classes";
    private static final String REMOVED_TENANTS = "orgs";
    private static final String PUT = "put";

    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    private ChangeCodec() {}

    /** Encodes a change. */
    static byte[] write(CatalogChange change) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator((OutputStream) body)) {
            out.writeStartObject();
            out.writeNumberField(EPOCH, change.epoch());
            out.writeNumberField(NUMBER, change.number());
            out.writeStringField(HASH_BEFORE, change.hashBefore());
            out.writeStringField(HASH_AFTER, change.hashAfter());
            out.writeObjectFieldStart(REMOVED);
            writeNames(out, REMOVED_CLASSES, change.removedClasses());
            writeNames(out, REMOVED_TENANTS, change.removedTenants());
            out.writeEndObject();
            out.writeFieldName(PUT);
            SiteWriter.write(out, change.putClasses(), change.putTenants());
            out.writeEndObject();
        }
        if (body.size() > MAX_BYTES - MAX_HEADER_BYTES) {
            throw new IOException(
                    "a change of " + body.size() + " bytes is longer than " + MAX_BYTES);
        }
        CRC32C crc = checksum(VERSION);
        crc.update(body.toByteArray());
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.write(
                String.format("%s %d %08x\n", MAGIC, VERSION, crc.getValue())
                        .getBytes(StandardCharsets.US_ASCII));
        body.writeTo(file);
        return file.toByteArray();
    }

    /** Starts a checksum with the version, so that a corrupt version is detected, too. */
    private static CRC32C checksum(int version) {
        CRC32C crc = new CRC32C();
        crc.update(version);
        return crc;
    }

    private static void writeNames(JsonGenerator out, String field, Set<String> names)
            throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : new TreeSet<>(names)) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    /**
     * Reads the file of the change at this position.
     *
     * @throws CorruptChangeException if the file does not contain the change of that position
     */
    static ChangeLogStore.ChangeReadResult read(InputStream in, LogPosition position)
            throws IOException {
        Matcher header = readHeader(in);
        CheckedInputStream body =
                new CheckedInputStream(in, checksum(Integer.parseInt(header.group(1))));
        BodyReader reader = new BodyReader();
        reader.read(body, null);
        body.transferTo(OutputStream.nullOutputStream());
        if (!String.format("%08x", body.getChecksum().getValue()).equals(header.group(2))) {
            throw new CorruptChangeException("its checksum does not match");
        }
        if (!position.equals(new LogPosition(reader.epoch, reader.number))) {
            throw new CorruptChangeException(
                    "it contains change " + reader.epoch + "-" + reader.number);
        }
        return reader.result();
    }

    /**
     * Reads the change without its entries, with the hashes before and after. The cost does not
     * depend on the size of the change, as the checksum is not verified.
     */
    static CatalogChange readHashes(InputStream in) throws IOException {
        readHeader(in);
        BodyReader reader = new BodyReader();
        reader.read(in, HASH_AFTER);
        return reader.result().change();
    }

    private static Matcher readHeader(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read();
                c >= 0 && c != '\n' && line.length() < MAX_HEADER_BYTES;
                c = in.read()) {
            line.append((char) c);
        }
        Matcher header = HEADER.matcher(line);
        if (!header.matches()) {
            throw new CorruptChangeException("no change, or cut short");
        }
        if (Integer.parseInt(header.group(1)) > VERSION) {
            throw new CorruptChangeException(
                    "version " + header.group(1) + ", and this program reads " + VERSION);
        }
        return header;
    }

    /** Reads the body, with its fields in any order. */
    private static final class BodyReader implements SiteVisitor {
        private final Map<String, RequestClass> putClasses = new HashMap<>();
        private final Map<String, Tenant> putTenants = new HashMap<>();
        private final Set<String> removedClasses = new HashSet<>();
        private final Set<String> removedTenants = new HashSet<>();
        private final ValidationErrors errors = new ValidationErrors();
        private long epoch = -1;
        private long number = -1;
        private String hashBefore = "";
        private String hashAfter = "";

        /**
         * Reads the fields up to and including the one named {@code lastField}, or all if it is
         * null.
         */
        void read(InputStream body, String lastField) throws IOException {
            try (JsonParser in = JSON.createParser(body)) {
                if (in.nextToken() != JsonToken.START_OBJECT) {
                    throw new CorruptChangeException("the body is not an object");
                }
                String field = "";
                while (!field.equals(lastField) && in.nextToken() == JsonToken.FIELD_NAME) {
                    field = in.currentName();
                    in.nextToken();
                    readField(in, field);
                }
            } catch (JsonProcessingException e) {
                throw new CorruptChangeException(
                        "it is not JSON at byte "
                                + e.getLocation().getByteOffset()
                                + " after its first line");
            }
        }

        private void readField(JsonParser in, String field) throws IOException {
            switch (field) {
                case EPOCH -> epoch = in.getValueAsLong(-1);
                case NUMBER -> number = in.getValueAsLong(-1);
                case HASH_BEFORE -> hashBefore = text(in);
                case HASH_AFTER -> hashAfter = text(in);
                case REMOVED ->
                        each(
                                in,
                                arrayName -> {
                                    Set<String> names =
                                            arrayName.equals(REMOVED_CLASSES)
                                                    ? removedClasses
                                                    : removedTenants;
                                    items(in, i -> names.add(text(in)));
                                });
                case PUT -> SiteReader.read(in, this, errors);
                default -> in.skipChildren();
            }
        }

        @Override
        public boolean requestClass(String name, RequestClass spec) {
            return putClasses.put(name, spec) == null;
        }

        @Override
        public boolean tenant(String name, Tenant spec) {
            return putTenants.put(name, spec) == null;
        }

        ChangeLogStore.ChangeReadResult result() {
            return new ChangeLogStore.ChangeReadResult(
                    new CatalogChange(
                            epoch,
                            number,
                            putClasses,
                            removedClasses,
                            putTenants,
                            removedTenants,
                            hashBefore,
                            hashAfter),
                    errors);
        }
    }
}
