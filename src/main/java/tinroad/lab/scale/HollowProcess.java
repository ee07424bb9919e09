package tinroad.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The lab's handle on a process that runs {@link HollowHost}: starts it, sends commands and
 * receives the answers.
 */
final class HollowProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BASE_HEAP_MB = 96;
    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final Process process;
    private final BufferedReader in;
    private final OutputStream out;
    private final int gatewayCount;

    private HollowProcess(Process process, int gatewayCount) {
        this.process = process;
        this.gatewayCount = gatewayCount;
        in = process.inputReader(StandardCharsets.US_ASCII);
        out = process.getOutputStream();
    }

    /**
     * Starts a process.
     *
     * @param classPath this program: a jar or a class path
     * @param heapPerGatewayMb heap that each of its gateways may take
     */
    static HollowProcess start(
            String classPath, HollowSpec spec, Path folder, double heapPerGatewayMb)
            throws IOException {
        Path file = folder.resolve("hollow-" + spec.first() + ".json");
        spec.write(file);
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xms32m",
                                "-Xmx" + heapMb(spec.count(), heapPerGatewayMb) + "m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:-UsePerfData",
                                "-Xshare:auto",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-Djava.net.preferIPv4Stack=true",
                                "-Dio.netty.allocator.numDirectArenas=1",
                                "-Dslf4j.provider=org.slf4j.simple.SimpleServiceProvider",
                                "-Dslf4j.internal.verbosity=WARN",
                                "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn",
                                "-cp",
                                classPath,
                                HollowHost.class.getName(),
                                file.toString()));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(folder.resolve("hollow-" + spec.first() + ".log").toFile())
                        .start();
        return new HollowProcess(process, spec.count());
    }

    /** Maximum heap of a process with this many gateways, in MB. */
    static int heapMb(int gatewayCount, double heapPerGatewayMb) {
        return BASE_HEAP_MB + (int) Math.ceil(gatewayCount * heapPerGatewayMb);
    }

    int gatewayCount() {
        return gatewayCount;
    }

    long pid() {
        return process.pid();
    }

    /**
     * Sends a command without waiting for its answer. Each answer has to be read with {@link
     * #receive}, in the order of the commands.
     */
    void send(String line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Waits for the next answer. */
    JsonNode receive() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("a process of hollow gateways has ended: see its log");
        }
        return JSON.readTree(line);
    }

    @Override
    public void close() {
        try {
            out.close();
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
