import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project's gateway, started with the command "run" of deploy/balancer.toml. */
final class Gateway {
    /** What the platform tells a gateway. */
    static final class Plan {
        String name = "n3";
        int listenPort;
        int controlPort;
        int enginePort;
        int rosterPort;
        int stopMillis = 3200;
        double cores = 1;
        int memoryMb = 192;
        int sockets = 1024;
        Path tmpDir;
        String settings;

        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\","
                            + "\"engine\":\"127.0.0.1:%d\",\"roster\":\"127.0.0.1:%d\","
                            + "\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":%d,"
                            + "\"limits\":{\"cores\":%.1f,\"memory_mb\":%d,\"sockets\":%d},"
                            + "\"settings\":%s}",
                    name, listenPort, controlPort, enginePort, rosterPort, stopMillis, cores,
                    memoryMb, sockets, settings);
        }
    }

    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway::killAll));
    }

    final Plan plan;
    final Process process;
    final Path log;

    private Gateway(Plan plan, Process process, Path log) {
        this.plan = plan;
        this.process = process;
        this.log = log;
    }

    /** The command "run" of the deploy file. */
    static String runCommand(Path root) throws IOException {
        String toml = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(toml);
        if (!run.find()) {
            throw new IOException("no command \"run\" in deploy/balancer.toml");
        }
        return run.group(1);
    }

    static Gateway start(Path root, Path folder, String label, Plan plan) throws IOException {
        Path config = folder.resolve("config-" + label + ".json");
        Files.writeString(config, plan.json());
        Path log = folder.resolve("gateway-" + label + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
        builder.directory(root.toFile());
        builder.environment().put("GW_NAME", plan.name);
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + plan.listenPort);
        builder.environment().put("GW_CONTROL", "127.0.0.1:" + plan.controlPort);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", plan.tmpDir.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        return new Gateway(plan, process, log);
    }

    static void killAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }

    /** Waits until GET /api/ready answers 200; false if it does not within this time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    private boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", plan.controlPort), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /api/ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String start = new String(in.readNBytes(12), StandardCharsets.US_ASCII);
            return start.endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String logText() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    /** A TCP port of 127.0.0.1 that was free just now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
