package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.stream.Collectors;

/**
 * The configuration of one gateway, read and validated as a whole.
 *
 * @param name the gateway's name in the service registry
 * @param listen the address on which client proxies connect
 * @param control the address of the admin endpoint, or null for none
 * @param engine the address of the engine
 * @param roster the address at which the service registry accepts load reports
 * @param seed the seed of all random choices
 * @param stopMillis the time from SIGTERM until the process is killed
 * @param sockets the number of file descriptors that the process may have open
 * @param memoryMb the memory that the process may use
 * @param site the settings of the overload controller, with the names of classes, tenants and
 *     gauges
 */
public record GatewayConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress control,
        InetSocketAddress engine,
        InetSocketAddress roster,
        long seed,
        double stopMillis,
        int sockets,
        double memoryMb,
        Site site) {

    private static final JsonFactory JSON =
            JsonFactory.builder().disable(StreamReadFeature.AUTO_CLOSE_SOURCE).build();
    private static final double DEFAULT_STOP_MILLIS = 3000;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_MEMORY_MB = 192;

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException with one line for each error; for a file that is not JSON, with the
     *     file's name and the line and column of the error
     */
    public static GatewayConfig read(Path file) throws ConfigException {
        return read(file, null);
    }

    /**
     * Reads a configuration file and passes classes and tenants to {@code visitor} one by one. The
     * lists of {@link #site()} stay empty, so that memory use does not grow with the file's size.
     * What the visitor received is valid only if this method returns normally.
     */
    public static GatewayConfig read(Path file, SiteVisitor visitor) throws ConfigException {
        // Both passes read the same open file, even if another file replaces it in between.
        try (FileChannel bytes = FileChannel.open(file, StandardOpenOption.READ)) {
            Fields fields = new Fields(file, visitor);
            fields.readFile(bytes);
            return fields.config();
        } catch (NoSuchFileException e) {
            throw new ConfigException(file + ": no such file");
        } catch (JsonProcessingException e) {
            throw new ConfigException(
                    file
                            + ": not JSON: wrong at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** Parses ADDRESS:PORT; the address has to be a literal, as no DNS is available. */
    private static InetSocketAddress address(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]") && port >= 0 && port <= 65535) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Reported below like any other malformed address.
        }
        throw new ConfigException("config: " + field + " is not an ADDRESS:PORT: '" + text + "'");
    }

    /** Collects the fields of the file while it is read; they may come in any order. */
    private static final class Fields {
        private final Path file;
        private final SiteVisitor visitor;
        private JsonParser in;
        private String name = "";
        private String listen = "";
        private String control = "";
        private String engine = "";
        private String roster = "";
        private String seed = "";
        private double stopMillis = DEFAULT_STOP_MILLIS;
        private double sockets = DEFAULT_SOCKETS;
        private double memoryMb = DEFAULT_MEMORY_MB;
        private SiteReader settings;

        Fields(Path file, SiteVisitor visitor) {
            this.file = file;
            this.visitor = visitor;
        }

        void readFile(FileChannel bytes) throws IOException, ConfigException {
            readObject(bytes, this::field);
            if (settings != null && settings.needsSecondPass()) {
                readObject(
                        bytes.position(0),
                        field -> {
                            if (field.equals("settings")) {
                                settings.secondPass(in);
                            }
                        });
            }
        }

        private void readObject(FileChannel bytes, JsonFields.Visitor fields)
                throws IOException, ConfigException {
            try (JsonParser parser = JSON.createParser(Channels.newInputStream(bytes))) {
                in = parser;
                if (in.nextToken() != JsonToken.START_OBJECT) {
                    throw new ConfigException(file + ": not a JSON object");
                }
                each(in, fields);
            }
        }

        GatewayConfig config() throws ConfigException {
            if (name.isEmpty() || name.matches(".*\\s.*")) {
                throw new ConfigException(
                        "config: name is missing or contains whitespace: '" + name + "'");
            }
            if (settings == null || settings.classCount() == 0) {
                throw new ConfigException("config: settings are missing or have no classes");
            }
            GatewayConfig config =
                    new GatewayConfig(
                            name,
                            address("listen", listen),
                            control.isEmpty() ? null : address("control", control),
                            address("engine", engine),
                            address("roster", roster),
                            seedValue(),
                            stopMillis,
                            (int) sockets,
                            memoryMb,
                            settings.site());
            ValidationErrors errors = settings.errors(config.site);
            if (!errors.isEmpty()) {
                throw new ConfigException(
                        errors.lines().stream()
                                .map(error -> "config: settings: " + error)
                                .collect(Collectors.joining("\n")));
            }
            return config;
        }

        private void field(String field) throws IOException {
            switch (field) {
                case "name" -> name = text(in);
                case "listen" -> listen = text(in);
                case "control" -> control = text(in);
                case "engine" -> engine = text(in);
                case "roster" -> roster = text(in);
                case "seed" -> seed = text(in);
                case "stop_ms" -> stopMillis = number(in, DEFAULT_STOP_MILLIS);
                case "limits" -> each(in, this::limit);
                case "settings" -> {
                    settings = visitor == null ? new SiteReader() : new SiteReader(visitor);
                    settings.firstPass(in);
                }
                default -> {}
            }
        }

        private void limit(String limit) throws IOException {
            switch (limit) {
                case "sockets" -> sockets = number(in, DEFAULT_SOCKETS);
                case "memory_mb" -> memoryMb = number(in, DEFAULT_MEMORY_MB);
                default -> {}
            }
        }

        private long seedValue() throws ConfigException {
            try {
                return Long.parseUnsignedLong(seed, 16);
            } catch (NumberFormatException e) {
                throw new ConfigException(
                        "config: seed is not a hexadecimal number: '" + seed + "'");
            }
        }
    }
}
