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

/** The lab's end of one {@link HollowHost}. */
final class HollowProcess implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BASE_MB = 96;
    private static final long PATIENCE_S = 5;

    private final Process process;
    private final BufferedReader in;
    private final OutputStream out;
    private final int count;

    private HollowProcess(Process process, int count) {
        this.process = process;
        this.count = count;
        in = process.inputReader(StandardCharsets.US_ASCII);
        out = process.getOutputStream();
    }

    /** Starts one; {@code eachMb} is the heap that each of its gateways may take. */
    static HollowProcess start(String program, HollowSpec spec, Path folder, double eachMb)
            throws IOException {
        Path file = folder.resolve("hollow-" + spec.first() + ".json");
        spec.write(file);
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xms32m",
                                "-Xmx" + heapMb(spec.count(), eachMb) + "m",
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
                                program,
                                HollowHost.class.getName(),
                                file.toString()));
        Process process =
                new ProcessBuilder(command)
                        .redirectError(folder.resolve("hollow-" + spec.first() + ".log").toFile())
                        .start();
        return new HollowProcess(process, spec.count());
    }

    /** The heap that so many may take, in MB. */
    static int heapMb(int count, double eachMb) {
        return BASE_MB + (int) Math.ceil(count * eachMb);
    }

    int count() {
        return count;
    }

    long pid() {
        return process.pid();
    }

    /** Asks without waiting for the answer; each is to be heard, in their order. */
    void ask(String line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    JsonNode hear() throws IOException {
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
            if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
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
