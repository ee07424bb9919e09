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
 * A gateway process that runs {@code serve} from a jar. A shell monitors it and kills it when the
 * pipe from the lab closes, so that no gateway outlives the lab, however the lab ends.
 */
public final class GatewayProcess {
    /** The JVM flags of the platform's {@code run} command. */
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

    private static final String MONITOR_SCRIPT =
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

    private final Process monitor;
    private final long pid;
    private final ProcessHandle process;

    private GatewayProcess(Process monitor, long pid) {
        this.monitor = monitor;
        this.pid = pid;
        process = ProcessHandle.of(pid).orElse(null);
    }

    /**
     * Starts a gateway process.
     *
     * @param program a jar, or a class path of several entries
     * @param folder the folder with its {@code config.json}, where its log is written
     * @param operator its operator file, or null
     */
    public static GatewayProcess start(String program, Path folder, Path operator)
            throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "sh",
                                "-c",
                                MONITOR_SCRIPT,
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
        Process monitor = builder.start();
        BufferedReader out = monitor.inputReader(StandardCharsets.US_ASCII);
        String pid = out.readLine();
        if (pid == null) {
            throw new IOException("can't start a gateway in " + folder);
        }
        return new GatewayProcess(monitor, Long.parseLong(pid));
    }

    /** The process id of the gateway. */
    public long pid() {
        return pid;
    }

    /** Completes with the exit status; 128 and above is a signal. */
    public CompletableFuture<Integer> onExit() {
        return monitor.onExit().thenApply(Process::exitValue);
    }

    /** Sends SIGTERM. */
    void notice() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Sends SIGKILL. */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends any other signal, by its name. */
    public void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resident memory in MB; 0 after the process has ended. */
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

    /** Number of open file descriptors; 0 after the process has ended. */
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
