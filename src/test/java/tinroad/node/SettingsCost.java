package tinroad.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.changelog.ChangeLogStore;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;
import tinroad.overload.Controller.Tenant;

/**
 * Measures what the size of the settings costs one gateway that is started by the platform's {@code
 * run} command: the time until it listens, the processor time while it is idle with an engine
 * attached, the memory, and the cost of reading the configuration again and of changing it in
 * place. Prints one line of JSON for each measurement.
 */
final class SettingsCost {
    private static final int SETTLE_MILLIS = 4000;
    private static final int IDLE_MEASUREMENT_MILLIS = 20_000;
    private static final int SINGLE_CHANGES = 40;
    private static final int MANY_CHANGES = 1000;
    private static final long TIMEOUT_MILLIS = 120_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final Path programFolder;
    private final Path workFolder;
    private final int tenants;
    private final int classes;
    private final ServerSocket engine;
    private final String adminAddress;
    private Process process;

    /** Bytes per nanosecond that an idle gateway reads, which come from its engine alone. */
    private double idleReadBytesPerNano;

    private SettingsCost(PrintStream out, Path programFolder, int tenants, int classes)
            throws IOException {
        this.out = out;
        this.programFolder = programFolder;
        this.tenants = tenants;
        this.classes = classes;
        workFolder = Files.createTempDirectory("settings-cost");
        engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            adminAddress = "127.0.0.1:" + free.getLocalPort();
        }
        Thread engineThread = new Thread(this::serveEngine, "engine");
        engineThread.setDaemon(true);
        engineThread.start();
    }

    /**
     * Runs {@code SettingsCost FOLDER... -- TENANTSxCLASSES...}, where each folder contains a
     * program as {@code build} leaves it.
     */
    public static void main(String[] args) throws Exception {
        List<String> arguments = List.of(args);
        int dashes = arguments.indexOf("--");
        if (dashes < 1 || dashes == arguments.size() - 1) {
            System.err.println("usage: SettingsCost FOLDER... -- TENANTSxCLASSES...");
            System.exit(2);
        }
        for (String size : arguments.subList(dashes + 1, arguments.size())) {
            String[] counts = size.split("x", 2);
            for (String programArgument : arguments.subList(0, dashes)) {
                new SettingsCost(
                                System.out,
                                Path.of(programArgument),
                                Integer.parseInt(counts[0]),
                                Integer.parseInt(counts[1]))
                        .measureAll();
            }
        }
    }

    private void measureAll() throws Exception {
        try {
            writeConfig(0, 0);
            start(null);
            measureIdle("rest");
            measureReload("reread_unchanged", "configuration read again");
            stop();
            Files.createDirectories(workFolder.resolve("changes"));
            start("catalog { apply = on-reload }");
            if (process.isAlive()) {
                measureChange("one_by_reload", 1, 1);
                if (tenants > 100 || classes > 100) {
                    measureChange(
                            "hundredth_by_reload",
                            Math.max(1, tenants / 100),
                            Math.max(1, classes / 100));
                }
                measureChange("all_by_reload", tenants, classes);
                stop();
                writeConfig(0, 0);
                start("catalog { log = changes }");
                measureChangeLog();
            }
        } finally {
            stop();
            engine.close();
            try (Stream<Path> files = Files.walk(workFolder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /**
     * Writes a configuration in which this many tenants and classes, counted from the middle of the
     * list on, have another quota or gain than in the first one.
     */
    private void writeConfig(int changedTenants, int changedClasses) throws IOException {
        ObjectNode config =
                (ObjectNode) JSON.readTree(programFolder.resolve("deploy/example.json").toFile());
        config.put("engine", "127.0.0.1:" + engine.getLocalPort())
                .put("roster", "127.0.0.1:9")
                .put("control", adminAddress)
                .put("stop_ms", 2000);
        ObjectNode settings = (ObjectNode) config.get("settings");
        var classArray = settings.putArray("classes");
        for (int i = 0; i < classes; i++) {
            classArray
                    .addObject()
                    .put("name", String.format("class-%05d", i))
                    .put("objective", 1500.0 + i % 7 * 100)
                    .put("deadline", 3700.0 + i % 7 * 100)
                    .put(
                            "gain",
                            (double) (1 + i % 3 + (isChanged(i, classes, changedClasses) ? 5 : 0)))
                    .put("late_share", 0.2)
                    .put("semantics", i % 2 == 0 ? "free" : "single_shot");
        }
        var tenantArray = settings.putArray("orgs");
        for (int i = 0; i < tenants; i++) {
            tenantArray
                    .addObject()
                    .put("name", String.format("tenant-%05d", i))
                    .put("quota_per_s", quota(i) + (isChanged(i, tenants, changedTenants) ? 50 : 0))
                    .put("share", 1.0 / tenants);
        }
        JSON.writeValue(workFolder.resolve("config.json").toFile(), config);
    }

    private static double quota(int tenant) {
        return 5.0 + tenant % 20;
    }

    private static boolean isChanged(int i, int total, int changedCount) {
        return (i + total - total / 2) % total < changedCount;
    }

    private void start(String operator) throws Exception {
        String command;
        try (Stream<String> lines = Files.lines(programFolder.resolve("deploy/balancer.toml"))) {
            command =
                    lines.filter(l -> l.startsWith("run = "))
                            .findFirst()
                            .orElseThrow()
                            .replaceAll("^run = \"|\"$", "");
        }
        if (operator != null) {
            command +=
                    " --operator "
                            + Files.writeString(workFolder.resolve("operator.conf"), operator);
        }
        ProcessBuilder builder =
                new ProcessBuilder("sh", "-c", command).directory(programFolder.toFile());
        builder.redirectErrorStream(true).redirectOutput(workFolder.resolve("log").toFile());
        builder.environment().put("GW_CONFIG", workFolder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", workFolder.toString());
        long startNanos = System.nanoTime();
        process = builder.start();
        if (!awaitLogLine("listening on", 0)) {
            return;
        }
        writeFigure(
                "start" + (operator == null ? "" : "_with_operator_file"),
                Map.of("ms", (System.nanoTime() - startNanos) / 1_000_000));
        Thread.sleep(SETTLE_MILLIS);
    }

    private void stop() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /**
     * Waits until the log contains the text after this offset; false if the process ends before.
     */
    private boolean awaitLogLine(String expectedText, long offsetBytes) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            byte[] logContent = Files.readAllBytes(workFolder.resolve("log"));
            if (new String(
                            logContent,
                            (int) offsetBytes,
                            logContent.length - (int) offsetBytes,
                            StandardCharsets.UTF_8)
                    .contains(expectedText)) {
                return true;
            }
            if (!process.isAlive()) {
                return false;
            }
            Thread.sleep(5);
        }
        throw new IOException("not logged: " + expectedText);
    }

    private void writeFigure(String measurement, Map<String, Object> values) {
        ObjectNode line = JSON.createObjectNode();
        line.put("program", programFolder.toAbsolutePath().normalize().getFileName().toString())
                .put("tenants", tenants)
                .put("classes", classes)
                .put("what", measurement);
        values.forEach((name, value) -> line.set(name, JSON.valueToTree(value)));
        out.println(line);
    }

    /**
     * Processor time of all live threads of the process, in ns. The time of a thread that has ended
     * is lost.
     */
    private long cpuNanos() throws IOException {
        long sum = 0;
        try (Stream<Path> tasks =
                Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                sum += Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ", 2)[0]);
            }
        }
        return sum;
    }

    private long readProcNumber(String file, String name) throws IOException {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", Long.toString(process.pid()), file))) {
            return Long.parseLong(
                    lines.filter(l -> l.startsWith(name + ":"))
                            .findFirst()
                            .orElseThrow()
                            .replaceAll("\\D+", ""));
        }
    }

    private double measureIdle(String measurement) throws Exception {
        long startCpuNanos = cpuNanos();
        long startReadBytes = readProcNumber("io", "rchar");
        long startNanos = System.nanoTime();
        Thread.sleep(IDLE_MEASUREMENT_MILLIS);
        double cpuShare = (double) (cpuNanos() - startCpuNanos) / (System.nanoTime() - startNanos);
        idleReadBytesPerNano =
                (double) (readProcNumber("io", "rchar") - startReadBytes)
                        / (System.nanoTime() - startNanos);
        writeFigure(
                measurement,
                Map.of(
                        "read_bytes_a_second",
                        Math.round(idleReadBytesPerNano * 1e9),
                        "percent_of_a_core",
                        Math.round(cpuShare * 1e4) / 100.0,
                        "rss_kb",
                        readProcNumber("status", "VmRSS"),
                        "anon_kb",
                        readProcNumber("status", "RssAnon")));
        return cpuShare;
    }

    private void measureReload(String measurement, String expectedLogText) throws Exception {
        long logOffsetBytes = Files.size(workFolder.resolve("log"));
        long startCpuNanos = cpuNanos();
        long startReadBytes = readProcNumber("io", "rchar");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        awaitLogLine(expectedLogText, logOffsetBytes);
        Thread.sleep(500);
        long cpuMicros = (cpuNanos() - startCpuNanos) / 1000;
        writeFigure(
                measurement,
                Map.of(
                        "cpu_ms",
                        cpuMicros / 1e3,
                        "read_bytes",
                        readProcNumber("io", "rchar") - startReadBytes,
                        "rss_kb",
                        readProcNumber("status", "VmRSS"),
                        "longest_slice_ms",
                        fetchAppliedSettings().path("longest_slice_ms").asDouble()));
    }

    private void measureChange(String measurement, int changedTenants, int changedClasses)
            throws Exception {
        writeConfig(changedTenants, changedClasses);
        measureReload(measurement, "settings in force");
    }

    private JsonNode fetchAppliedSettings() throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + adminAddress + "/api/settings"))
                        .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        return response.statusCode() == 200
                ? JSON.readTree(response.body())
                : JSON.createObjectNode();
    }

    /**
     * Measures changes of one tenant each that arrive by the change log: first a few with pauses in
     * between, which show the cost of one, then many as fast as they can be written.
     */
    private void measureChangeLog() throws Exception {
        double idleCpuShare = measureIdle("rest_with_log");
        ChangeLogStore changeLog =
                new ChangeLogStore(
                        workFolder.resolve("changes"), ChangeLogStore.DEFAULT_KEPT_CHANGES);
        CatalogBuilder catalogBuilder = new CatalogBuilder(readCatalog());
        List<Double> delaysMillis = new ArrayList<>();
        long startCpuNanos = cpuNanos();
        long startReadBytes = readProcNumber("io", "rchar");
        long startNanos = System.nanoTime();
        for (int i = 0; i < SINGLE_CHANGES; i++) {
            publishQuota(changeLog, catalogBuilder, i);
            Thread.sleep(700 + 37 * (i % 10));
        }
        double elapsedNanos = System.nanoTime() - startNanos;
        double cpuSpentNanos = cpuNanos() - startCpuNanos - idleCpuShare * elapsedNanos;
        long readBytes =
                Math.round(
                        readProcNumber("io", "rchar")
                                - startReadBytes
                                - idleReadBytesPerNano * elapsedNanos);
        writeFigure(
                "one_by_log",
                Map.of(
                        "cpu_ms",
                        Math.round(cpuSpentNanos / SINGLE_CHANGES / 1000) / 1e3,
                        "read_bytes",
                        readBytes / SINGLE_CHANGES,
                        "longest_slice_ms",
                        fetchAppliedSettings().path("longest_slice_ms").asDouble()));
        for (int i = 0; i < SINGLE_CHANGES; i++) {
            double publishedAtMillis = System.currentTimeMillis();
            publishQuota(changeLog, catalogBuilder, i);
            long publishedNumber = catalogBuilder.current().number();
            Thread.sleep(900 + 37 * (i % 10));
            JsonNode shown = fetchAppliedSettings();
            if (shown.path("number").asLong() == publishedNumber) {
                delaysMillis.add(
                        System.currentTimeMillis()
                                - shown.path("since_ms").asDouble()
                                - publishedAtMillis);
            }
        }
        delaysMillis.sort(null);
        writeFigure(
                "in_force",
                Map.of(
                        "changes",
                        SINGLE_CHANGES,
                        "seen",
                        delaysMillis.size(),
                        "median_ms",
                        delaysMillis.get(delaysMillis.size() / 2),
                        "worst_ms",
                        delaysMillis.get(delaysMillis.size() - 1)));
        long rssKbBefore = readProcNumber("status", "VmRSS");
        startCpuNanos = cpuNanos();
        startNanos = System.nanoTime();
        for (int i = 0; i < MANY_CHANGES; i++) {
            publishQuota(changeLog, catalogBuilder, i);
        }
        while (fetchAppliedSettings().path("number").asLong()
                != catalogBuilder.current().number()) {
            Thread.sleep(50);
        }
        writeFigure(
                "many_by_log",
                Map.of(
                        "changes",
                        MANY_CHANGES,
                        "rss_kb_before",
                        rssKbBefore,
                        "rss_kb",
                        readProcNumber("status", "VmRSS"),
                        "cpu_ms_each",
                        Math.round(
                                        (cpuNanos()
                                                        - startCpuNanos
                                                        - idleCpuShare
                                                                * (System.nanoTime() - startNanos))
                                                / MANY_CHANGES
                                                / 1000)
                                / 1e3));
    }

    private Catalog readCatalog() throws ConfigException {
        Site site = GatewayConfig.read(workFolder.resolve("config.json")).site();
        return Catalog.of(
                0,
                0,
                site.classNames(),
                site.settings().classes(),
                site.tenantNames(),
                site.settings().tenants());
    }

    private void publishQuota(ChangeLogStore changeLog, CatalogBuilder catalogBuilder, int i)
            throws IOException {
        Catalog current = catalogBuilder.current();
        Map<String, Tenant> changedTenant =
                Map.of(
                        String.format("tenant-%05d", i % tenants),
                        new Tenant(100 + current.number() % 1000, 1.0 / tenants));
        CatalogChange withoutHashes =
                new CatalogChange(
                        1,
                        current.epoch() == 0 ? 1 : current.number() + 1,
                        Map.of(),
                        Set.of(),
                        changedTenant,
                        Set.of());
        CatalogChange withHashes =
                new CatalogChange(
                        1,
                        withoutHashes.number(),
                        Map.of(),
                        Set.of(),
                        changedTenant,
                        Set.of(),
                        current.contentHash(),
                        current.hashAfter(withoutHashes));
        changeLog.append(withHashes);
        catalogBuilder.apply(withHashes);
    }

    /** Serves as a running engine that has nothing to do. */
    private void serveEngine() {
        while (!engine.isClosed()) {
            try (Socket link = engine.accept()) {
                BufferedReader lines =
                        new BufferedReader(
                                new InputStreamReader(
                                        link.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    JsonNode command = JSON.readTree(line);
                    String reply =
                            switch (command.path("type").asText()) {
                                case "ATTACH" ->
                                        "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":900000}\n";
                                case "STAT" ->
                                        "{\"type\":\"STATS\",\"ref\":\""
                                                + command.path("ref").asText()
                                                + "\",\"gauges\":[0.1,1,0.1,1]}\n";
                                default -> "";
                            };
                    link.getOutputStream().write(reply.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The gateway was stopped, or the measurement is over.
            }
        }
    }
}
