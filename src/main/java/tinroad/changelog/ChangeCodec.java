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
 * A change as bytes: a line that names format, version and CRC-32C of version and rest, then one
 * JSON object. Its {@code put} is in the words of the settings, and read by their reader. What is
 * read counts only once the checksum fits to the last byte.
 */
final class ChangeCodec {
    /** The version that is written, and the latest that is read. */
    static final int VERSION = 1;

    /** A longer file is no batch: it is neither written nor read. */
    static final int LONGEST = 32 * 1024 * 1024;

    private static final String MAGIC = "tinroad-change";
    private static final Pattern HEAD = Pattern.compile(MAGIC + " (\\d{1,6}) ([0-9a-f]{8})");
    private static final int LONGEST_HEAD = 64;
    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();

    private ChangeCodec() {}

    /** The bytes of a change. */
    static byte[] write(CatalogChange c) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator((OutputStream) body)) {
            out.writeStartObject();
            out.writeNumberField("epoch", c.epoch());
            out.writeNumberField("number", c.number());
            out.writeStringField("before", c.hashBefore());
            out.writeStringField("after", c.hashAfter());
            out.writeObjectFieldStart("remove");
            names(out, "classes", c.removedClasses());
            names(out, "orgs", c.removedTenants());
            out.writeEndObject();
            out.writeFieldName("put");
            SiteWriter.write(out, c.putClasses(), c.putTenants());
            out.writeEndObject();
        }
        if (body.size() > LONGEST - LONGEST_HEAD) {
            throw new IOException(
                    "a change of " + body.size() + " bytes is longer than " + LONGEST);
        }
        CRC32C crc = checksum(VERSION);
        crc.update(body.toByteArray());
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(
                String.format("%s %d %08x\n", MAGIC, VERSION, crc.getValue())
                        .getBytes(StandardCharsets.US_ASCII));
        body.writeTo(all);
        return all.toByteArray();
    }

    /** Begins with the version: one that is damaged is none. */
    private static CRC32C checksum(int version) {
        CRC32C crc = new CRC32C();
        crc.update(version);
        return crc;
    }

    private static void names(JsonGenerator out, String field, Set<String> names)
            throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : new TreeSet<>(names)) {
            out.writeString(name);
        }
        out.writeEndArray();
    }

    /**
     * Reads what its name says is the change at this position; a {@link CorruptChangeException}
     * where it is none.
     */
    static ChangeLogStore.ChangeReadResult read(InputStream in, LogPosition at) throws IOException {
        Matcher head = head(in);
        CheckedInputStream body =
                new CheckedInputStream(in, checksum(Integer.parseInt(head.group(1))));
        Fields fields = new Fields();
        fields.read(body, null);
        body.transferTo(OutputStream.nullOutputStream());
        if (!String.format("%08x", body.getChecksum().getValue()).equals(head.group(2))) {
            throw new CorruptChangeException("its checksum does not fit");
        }
        if (!at.equals(new LogPosition(fields.epoch, fields.number))) {
            throw new CorruptChangeException(
                    "it says that it is " + fields.epoch + "-" + fields.number);
        }
        return fields.batch();
    }

    /**
     * What comes before the entries: the hashes before and after. Costs the same for any change;
     * the checksum is not looked at.
     */
    static CatalogChange readHead(InputStream in) throws IOException {
        head(in);
        Fields fields = new Fields();
        fields.read(in, "after");
        return fields.batch().change();
    }

    private static Matcher head(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read();
                c >= 0 && c != '\n' && line.length() < LONGEST_HEAD;
                c = in.read()) {
            line.append((char) c);
        }
        Matcher m = HEAD.matcher(line);
        if (!m.matches()) {
            throw new CorruptChangeException("no change, or cut short");
        }
        if (Integer.parseInt(m.group(1)) > VERSION) {
            throw new CorruptChangeException(
                    "version " + m.group(1) + ", and this program reads " + VERSION);
        }
        return m;
    }

    /** The fields as they come in. */
    private static final class Fields implements SiteVisitor {
        private final Map<String, RequestClass> classes = new HashMap<>();
        private final Map<String, Tenant> tenants = new HashMap<>();
        private final Set<String> noClasses = new HashSet<>();
        private final Set<String> noTenants = new HashSet<>();
        private final ValidationErrors faults = new ValidationErrors();
        private long epoch = -1;
        private long number = -1;
        private String before = "";
        private String after = "";

        /** Reads up to the field named {@code last}; null: all. */
        void read(InputStream body, String last) throws IOException {
            try (JsonParser in = JSON.createParser(body)) {
                if (in.nextToken() != JsonToken.START_OBJECT) {
                    throw new CorruptChangeException("no object");
                }
                String field = "";
                while (!field.equals(last) && in.nextToken() == JsonToken.FIELD_NAME) {
                    field = in.currentName();
                    in.nextToken();
                    field(in, field);
                }
            } catch (JsonProcessingException e) {
                throw new CorruptChangeException(
                        "it is not JSON at byte "
                                + e.getLocation().getByteOffset()
                                + " behind its first line");
            }
        }

        private void field(JsonParser in, String field) throws IOException {
            switch (field) {
                case "epoch" -> epoch = in.getValueAsLong(-1);
                case "number" -> number = in.getValueAsLong(-1);
                case "before" -> before = text(in);
                case "after" -> after = text(in);
                case "remove" ->
                        each(
                                in,
                                table -> {
                                    Set<String> names =
                                            table.equals("classes") ? noClasses : noTenants;
                                    items(in, i -> names.add(text(in)));
                                });
                case "put" -> SiteReader.read(in, this, faults);
                default -> in.skipChildren();
            }
        }

        @Override
        public boolean requestClass(String name, RequestClass spec) {
            return classes.put(name, spec) == null;
        }

        @Override
        public boolean tenant(String name, Tenant spec) {
            return tenants.put(name, spec) == null;
        }

        ChangeLogStore.ChangeReadResult batch() {
            return new ChangeLogStore.ChangeReadResult(
                    new CatalogChange(
                            epoch, number, classes, noClasses, tenants, noTenants, before, after),
                    faults);
        }
    }
}
