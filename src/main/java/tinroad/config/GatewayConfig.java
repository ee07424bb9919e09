package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What one gateway is told at its start, read and checked once.
 *
 * @param control where operators call, or null where they have no door
 */
public record GatewayConfig(String name, InetSocketAddress listen, InetSocketAddress control, InetSocketAddress engine,
        InetSocketAddress roster, long seed, double stopMs, int sockets, double memoryMb, Site site) {

    private static final JsonFactory JSON = new JsonFactory();
    private static final double DEFAULT_STOP_MS = 3000;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final double DEFAULT_MEMORY_MB = 192;

    /** Reads the file that {@code GW_CONFIG} names; what is wrong with it is told in one plain line. */
    public static GatewayConfig read(Path file) throws ConfigException {
        try (JsonParser in = JSON.createParser(Files.readAllBytes(file))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(file + ": not a JSON object");
            }
            return new Fields(in).read();
        } catch (NoSuchFileException e) {
            throw new ConfigException(file + ": no such file");
        } catch (JsonProcessingException e) {
            throw new ConfigException(file + ": not JSON: wrong at line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr());
        } catch (IOException e) {
            throw new ConfigException(file + ": can't be read: " + e.getMessage());
        }
    }

    /** HOST:PORT with a literal address, as no DNS is available. */
    private static InetSocketAddress address(String field, String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]") && port >= 0 && port <= 65535) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // told below, as any other malformed address
        }
        throw new ConfigException("config: " + field + " is no ADDRESS:PORT: '" + text + "'");
    }

    /** The fields as they come in. */
    private static final class Fields {
        private final JsonParser in;
        private String name = "";
        private String listen = "";
        private String control = "";
        private String engine = "";
        private String roster = "";
        private String seed = "";
        private double stopMs = DEFAULT_STOP_MS;
        private double sockets = DEFAULT_SOCKETS;
        private double memoryMb = DEFAULT_MEMORY_MB;
        private Site site;
        private final List<String> faults = new ArrayList<>();

        Fields(JsonParser in) {
            this.in = in;
        }

        GatewayConfig read() throws IOException, ConfigException {
            each(in, this::field);
            if (name.isEmpty() || name.matches(".*\\s.*")) {
                throw new ConfigException("config: name is missing or holds blanks: '" + name + "'");
            }
            if (site == null || site.classNames().isEmpty()) {
                throw new ConfigException("config: settings are missing or name no classes");
            }
            GatewayConfig config = new GatewayConfig(name, address("listen", listen), control.isEmpty() ? null : address("control", control),
                    address("engine", engine), address("roster", roster), seedValue(), stopMs, (int) sockets, memoryMb, site);
            if (!faults.isEmpty()) {
                throw new ConfigException(faults.stream().map(fault -> "config: settings: " + fault).collect(Collectors.joining("\n")));
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
                case "stop_ms" -> stopMs = number(in, DEFAULT_STOP_MS);
                case "limits" -> each(in, this::limit);
                case "settings" -> site = SiteReader.read(in, faults);
                default -> { }
            }
        }

        private void limit(String limit) throws IOException {
            switch (limit) {
                case "sockets" -> sockets = number(in, DEFAULT_SOCKETS);
                case "memory_mb" -> memoryMb = number(in, DEFAULT_MEMORY_MB);
                default -> { }
            }
        }

        private long seedValue() throws ConfigException {
            try {
                return Long.parseUnsignedLong(seed, 16);
            } catch (NumberFormatException e) {
                throw new ConfigException("config: seed is no hexadecimal number: '" + seed + "'");
            }
        }
    }
}
