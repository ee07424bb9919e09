package review2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One process of a gateway, started by the command {@code run} of the deploy file. */
final class Gateway {
    private static final List<Gateway> STARTED = new CopyOnWriteArrayList<>();

    final String listen;
    final String control;
    final Path config;
    private final Process process;
    private final Record record;
    private final String name;

    /** Starts a process that may hold 1,024 descriptors. */
    Gateway(String name, String listen, String engine, String roster, long stopMillis,
            String settings, Path directory, Path tmpdir, Record record) throws IOException {
        this(name, listen, engine, roster, stopMillis, 1024, settings, directory, tmpdir, record);
    }

    /**
     * @param sockets the limit of descriptors
     * @param directory a temporary folder of the case
     * @param tmpdir the folder that all processes of this gateway get as TMPDIR
     */
    Gateway(String name, String listen, String engine, String roster, long stopMillis,
            int sockets, String settings, Path directory, Path tmpdir, Record record)
            throws IOException {
        this.name = name;
        this.listen = listen;
        this.record = record;
        control = "127.0.0.1:" + freePort();
        config = Files.createTempFile(directory, "config", ".json");
        Files.writeString(config, config(listen, control, engine, roster, stopMillis,
                sockets, settings));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", System.getProperty("run"));
        builder.directory(new File(System.getProperty("root")));
        builder.environment().put("GW_NAME", "n1");
        builder.environment().put("GW_LISTEN", listen);
        builder.environment().put("GW_CONTROL", control);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmpdir.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(Files.createTempFile(directory, name + "-", ".log").toFile());
        process = builder.start();
        STARTED.add(this);
        record.line("started gateway process " + name + ", pid " + process.pid());
    }

    static String config(String listen, String control, String engine, String roster,
            long stopMillis, int sockets, String settings) {
        return "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"control\":\"" + control
                + "\",\"engine\":\"" + engine + "\",\"roster\":\"" + roster
                + "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" + stopMillis
                + ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"settings\":"
                + settings + "}";
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until the operators' door says that the process is ready. */
    void awaitReady(long millis) throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (!ready()) {
            if (System.currentTimeMillis() > end || !process.isAlive()) {
                throw new IOException(name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.line(name + " is ready");
    }

    private boolean ready() {
        return call("GET", "/api/ready") == 200;
    }

    /** Calls the operators' door; returns the HTTP status, 0 without one. */
    int call(String method, String path) {
        try {
            HttpURLConnection call =
                    (HttpURLConnection) new URL("http://" + control + path).openConnection();
            call.setRequestMethod(method);
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            int status = call.getResponseCode();
            call.disconnect();
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.line("SIG" + signal + " to " + name);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                .start()
                .waitFor();
    }

    boolean alive() {
        return process.isAlive();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    int exitValue() {
        return process.exitValue();
    }

    static void killAll() {
        for (Gateway gateway : STARTED) {
            gateway.process.destroyForcibly();
        }
    }
}
