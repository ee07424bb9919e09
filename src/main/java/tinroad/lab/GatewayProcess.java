package tinroad.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One process of a gateway, {@code serve} from a jar. A shell stands by it that kills it once the
 * pipe from the lab closes, so that no gateway outlives the lab, however that ends.
 */
public final class GatewayProcess {
    /** The flags of the platform's {@code run}. */
    public static final List<String> FLAGS =
            List.of(
                    "-Xms16m",
                    "-Xmx56m",
                    "-Xmn5m",
                    "-XX:SurvivorRatio=3",
                    "-XX:MaxDirectMemorySize=24m",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:ReservedCodeCacheSize=16m",
                    "-Xss512k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-Xshare:auto",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Djava.net.preferIPv4Stack=true",
                    "-Dio.netty.allocator.type=pooled",
                    "-Dio.netty.allocator.numDirectArenas=1",
                    "-Dio.netty.allocator.numHeapArenas=1",
                    "-Dio.netty.allocator.maxOrder=3");

    private static final String WATCH =
            """
            exec 3<&0
            log=$1
            shift
            "$@" < /dev/null >> "$log" 2>&1 3<&- &
            p=$!
            echo $p
            (read x <&3; kill -KILL $p) 2> /dev/null &
            w=$!
            wait $p
            s=$?
            kill $w 2> /dev/null
            exit $s
            """;

    private final Process watch;
    private final long pid;
    private final ProcessHandle process;

    private GatewayProcess(Process watch, long pid) {
        this.watch = watch;
        this.pid = pid;
        process = ProcessHandle.of(pid).orElse(null);
    }

    /**
     * Starts one; {@code program} is a jar, or a class path of several entries; {@code operator} is
     * its operator file, or null.
     */
    public static GatewayProcess start(String program, Path folder, Path operator)
            throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "sh",
                                "-c",
                                WATCH,
                                "sh",
                                folder.resolve("log").toString(),
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(FLAGS);
        command.addAll(
                List.of(
                        "-cp",
                        program,
                        "tinroad.cli.Main",
                        "serve",
                        "--config",
                        folder.resolve("config.json").toString()));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(new File("/dev/null"));
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        Process watch = builder.start();
        BufferedReader out = watch.inputReader(StandardCharsets.US_ASCII);
        String pid = out.readLine();
        if (pid == null) {
            throw new IOException("can't start a gateway in " + folder);
        }
        return new GatewayProcess(watch, Long.parseLong(pid));
    }

    /** Its process id. */
    public long pid() {
        return pid;
    }

    /** The exit status, once it has ended; 128 and more is a signal. */
    public CompletableFuture<Integer> onExit() {
        return watch.onExit().thenApply(Process::exitValue);
    }

    /** SIGTERM. */
    void notice() {
        if (process != null) {
            process.destroy();
        }
    }

    /** SIGKILL. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Any other signal, by its name. */
    public void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resident memory in MB; 0 once it has ended. */
    public double memoryMb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")) / 1024)
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Open descriptors; 0 once it has ended. */
    public int descriptors() {
        int n = 0;
        try (DirectoryStream<Path> all =
                Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "fd"))) {
            for (Path ignored : all) {
                n++;
            }
        } catch (IOException e) {
            return 0;
        }
        return n;
    }
}
