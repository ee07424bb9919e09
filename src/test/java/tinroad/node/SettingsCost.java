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
 * What the size of the settings costs one gateway, started as the platform's {@code run} does: time
 * until it listens, processor time at rest beside an engine that answers, memory, a configuration
 * read again, and changes of it in place. A JSON line a figure.
 */
final class SettingsCost {
    private static final int SETTLE_MS = 4000;
    private static final int REST_MS = 20_000;
    private static final int CHANGES = 40;
    private static final int MANY = 1000;
    private static final long HUNG_MS = 120_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final Path root;
    private final Path folder;
    private final int tenants;
    private final int classes;
    private final ServerSocket engine;
    private final String door;
    private Process process;

    /** Bytes a nanosecond that it reads of its engine alone. */
    private double readAtRest;

    private SettingsCost(PrintStream out, Path root, int tenants, int classes) throws IOException {
        this.out = out;
        this.root = root;
        this.tenants = tenants;
        this.classes = classes;
        folder = Files.createTempDirectory("settings-cost");
        engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            door = "127.0.0.1:" + free.getLocalPort();
        }
        Thread stand = new Thread(this::serveEngine, "engine");
        stand.setDaemon(true);
        stand.start();
    }

    /**
     * {@code SettingsCost FOLDER... -- TENANTSxCLASSES...}: each folder holds a program as {@code
     * build} leaves it.
     */
    public static void main(String[] args) throws Exception {
        List<String> all = List.of(args);
        int dashes = all.indexOf("--");
        if (dashes < 1 || dashes == all.size() - 1) {
            System.err.println("usage: SettingsCost FOLDER... -- TENANTSxCLASSES...");
            System.exit(2);
        }
        for (String size : all.subList(dashes + 1, all.size())) {
            String[] parts = size.split("x", 2);
            for (String program : all.subList(0, dashes)) {
                new SettingsCost(
                                System.out,
                                Path.of(program),
                                Integer.parseInt(parts[0]),
                                Integer.parseInt(parts[1]))
                        .play();
            }
        }
    }

    private void play() throws Exception {
        try {
            write(0, 0);
            start(null);
            rest("rest");
            hangUp("reread_unchanged", "configuration read again");
            stop();
            Files.createDirectories(folder.resolve("changes"));
            start("catalog { apply = on-reload }");
            if (process.isAlive()) {
                change("one_by_reload", 1, 1);
                if (tenants > 100 || classes > 100) {
                    change(
                            "hundredth_by_reload",
                            Math.max(1, tenants / 100),
                            Math.max(1, classes / 100));
                }
                change("all_by_reload", tenants, classes);
                stop();
                write(0, 0);
                start("catalog { log = changes }");
                follow();
            }
        } finally {
            stop();
            engine.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    /**
     * Settings of which so many tenants and classes, from the middle on, say another quota and gain
     * than at first.
     */
    private void write(int otherTenants, int otherClasses) throws IOException {
        ObjectNode config =
                (ObjectNode) JSON.readTree(root.resolve("deploy/example.json").toFile());
        config.put("engine", "127.0.0.1:" + engine.getLocalPort())
                .put("roster", "127.0.0.1:9")
                .put("control", door)
                .put("stop_ms", 2000);
        ObjectNode settings = (ObjectNode) config.get("settings");
        var kinds = settings.putArray("classes");
        for (int i = 0; i < classes; i++) {
            kinds.addObject()
                    .put("name", String.format("class-%05d", i))
                    .put("objective", 1500.0 + i % 7 * 100)
                    .put("deadline", 3700.0 + i % 7 * 100)
                    .put("gain", (double) (1 + i % 3 + (changed(i, classes, otherClasses) ? 5 : 0)))
                    .put("late_share", 0.2)
                    .put("semantics", i % 2 == 0 ? "free" : "single_shot");
        }
        var orgs = settings.putArray("orgs");
        for (int i = 0; i < tenants; i++) {
            orgs.addObject()
                    .put("name", String.format("tenant-%05d", i))
                    .put("quota_per_s", quota(i) + (changed(i, tenants, otherTenants) ? 50 : 0))
                    .put("share", 1.0 / tenants);
        }
        JSON.writeValue(folder.resolve("config.json").toFile(), config);
    }

    private static double quota(int tenant) {
        return 5.0 + tenant % 20;
    }

    private static boolean changed(int i, int all, int other) {
        return (i + all - all / 2) % all < other;
    }

    private void start(String operator) throws Exception {
        String line;
        try (Stream<String> lines = Files.lines(root.resolve("deploy/balancer.toml"))) {
            line =
                    lines.filter(l -> l.startsWith("run = "))
                            .findFirst()
                            .orElseThrow()
                            .replaceAll("^run = \"|\"$", "");
        }
        if (operator != null) {
            line += " --operator " + Files.writeString(folder.resolve("operator.conf"), operator);
        }
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", line).directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        long begun = System.nanoTime();
        process = builder.start();
        if (!logged("listening on", 0)) {
            return;
        }
        figure(
                "start" + (operator == null ? "" : "_with_operator_file"),
                Map.of("ms", (System.nanoTime() - begun) / 1_000_000));
        Thread.sleep(SETTLE_MS);
    }

    private void stop() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Waits for a line after so many bytes of the log; false where the process ends before. */
    private boolean logged(String part, long after) throws Exception {
        long end = System.nanoTime() + HUNG_MS * 1_000_000;
        while (System.nanoTime() < end) {
            byte[] log = Files.readAllBytes(folder.resolve("log"));
            if (new String(log, (int) after, log.length - (int) after, StandardCharsets.UTF_8)
                    .contains(part)) {
                return true;
            }
            if (!process.isAlive()) {
                return false;
            }
            Thread.sleep(5);
        }
        throw new IOException("not logged: " + part);
    }

    private void figure(String what, Map<String, Object> values) {
        ObjectNode line = JSON.createObjectNode();
        line.put("program", root.toAbsolutePath().normalize().getFileName().toString())
                .put("tenants", tenants)
                .put("classes", classes)
                .put("what", what);
        values.forEach((name, value) -> line.set(name, JSON.valueToTree(value)));
        out.println(line);
    }

    /**
     * Nanoseconds on a core of all its threads; of one that has ended meanwhile the time is lost.
     */
    private long cpu() throws IOException {
        long sum = 0;
        try (Stream<Path> tasks =
                Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                sum += Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ", 2)[0]);
            }
        }
        return sum;
    }

    private long number(String file, String name) throws IOException {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", Long.toString(process.pid()), file))) {
            return Long.parseLong(
                    lines.filter(l -> l.startsWith(name + ":"))
                            .findFirst()
                            .orElseThrow()
                            .replaceAll("\\D+", ""));
        }
    }

    private double rest(String what) throws Exception {
        long before = cpu();
        long bytes = number("io", "rchar");
        long begun = System.nanoTime();
        Thread.sleep(REST_MS);
        double part = (double) (cpu() - before) / (System.nanoTime() - begun);
        readAtRest = (double) (number("io", "rchar") - bytes) / (System.nanoTime() - begun);
        figure(
                what,
                Map.of(
                        "read_bytes_a_second",
                        Math.round(readAtRest * 1e9),
                        "percent_of_a_core",
                        Math.round(part * 1e4) / 100.0,
                        "rss_kb",
                        number("status", "VmRSS"),
                        "anon_kb",
                        number("status", "RssAnon")));
        return part;
    }

    private void hangUp(String what, String part) throws Exception {
        long log = Files.size(folder.resolve("log"));
        long cpu = cpu();
        long bytes = number("io", "rchar");
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        logged(part, log);
        Thread.sleep(500);
        long cpuMicros = (cpu() - cpu) / 1000;
        figure(
                what,
                Map.of(
                        "cpu_ms",
                        cpuMicros / 1e3,
                        "read_bytes",
                        number("io", "rchar") - bytes,
                        "rss_kb",
                        number("status", "VmRSS"),
                        "longest_slice_ms",
                        settings().path("longest_slice_ms").asDouble()));
    }

    private void change(String what, int otherTenants, int otherClasses) throws Exception {
        write(otherTenants, otherClasses);
        hangUp(what, "settings in force");
    }

    private JsonNode settings() throws Exception {
        HttpRequest call =
                HttpRequest.newBuilder(URI.create("http://" + door + "/api/settings")).build();
        HttpResponse<String> answer =
                HttpClient.newHttpClient().send(call, HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() == 200 ? JSON.readTree(answer.body()) : JSON.createObjectNode();
    }

    /**
     * Changes of one tenant each by the log: few at leisure, for what one costs, then many as fast
     * as they are written.
     */
    private void follow() throws Exception {
        double rest = rest("rest_with_log");
        ChangeLogStore log =
                new ChangeLogStore(folder.resolve("changes"), ChangeLogStore.DEFAULT_KEPT_CHANGES);
        CatalogBuilder editor = new CatalogBuilder(read());
        List<Double> inForce = new ArrayList<>();
        long cpu = cpu();
        long bytes = number("io", "rchar");
        long begun = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            publish(log, editor, i);
            Thread.sleep(700 + 37 * (i % 10));
        }
        double lasted = System.nanoTime() - begun;
        double spent = cpu() - cpu - rest * lasted;
        long read = Math.round(number("io", "rchar") - bytes - readAtRest * lasted);
        figure(
                "one_by_log",
                Map.of(
                        "cpu_ms",
                        Math.round(spent / CHANGES / 1000) / 1e3,
                        "read_bytes",
                        read / CHANGES,
                        "longest_slice_ms",
                        settings().path("longest_slice_ms").asDouble()));
        for (int i = 0; i < CHANGES; i++) {
            double at = System.currentTimeMillis();
            publish(log, editor, i);
            long number = editor.current().number();
            Thread.sleep(900 + 37 * (i % 10));
            JsonNode now = settings();
            if (now.path("number").asLong() == number) {
                inForce.add(System.currentTimeMillis() - now.path("since_ms").asDouble() - at);
            }
        }
        inForce.sort(null);
        figure(
                "in_force",
                Map.of(
                        "changes",
                        CHANGES,
                        "seen",
                        inForce.size(),
                        "median_ms",
                        inForce.get(inForce.size() / 2),
                        "worst_ms",
                        inForce.get(inForce.size() - 1)));
        long before = number("status", "VmRSS");
        cpu = cpu();
        begun = System.nanoTime();
        for (int i = 0; i < MANY; i++) {
            publish(log, editor, i);
        }
        while (settings().path("number").asLong() != editor.current().number()) {
            Thread.sleep(50);
        }
        figure(
                "many_by_log",
                Map.of(
                        "changes",
                        MANY,
                        "rss_kb_before",
                        before,
                        "rss_kb",
                        number("status", "VmRSS"),
                        "cpu_ms_each",
                        Math.round((cpu() - cpu - rest * (System.nanoTime() - begun)) / MANY / 1000)
                                / 1e3));
    }

    private Catalog read() throws ConfigException {
        Site site = GatewayConfig.read(folder.resolve("config.json")).site();
        return Catalog.of(
                0,
                0,
                site.classNames(),
                site.settings().classes(),
                site.tenantNames(),
                site.settings().tenants());
    }

    private void publish(ChangeLogStore log, CatalogBuilder editor, int i) throws IOException {
        Catalog now = editor.current();
        Map<String, Tenant> put =
                Map.of(
                        String.format("tenant-%05d", i % tenants),
                        new Tenant(100 + now.number() % 1000, 1.0 / tenants));
        CatalogChange bare =
                new CatalogChange(
                        1,
                        now.epoch() == 0 ? 1 : now.number() + 1,
                        Map.of(),
                        Set.of(),
                        put,
                        Set.of());
        CatalogChange whole =
                new CatalogChange(
                        1,
                        bare.number(),
                        Map.of(),
                        Set.of(),
                        put,
                        Set.of(),
                        now.contentHash(),
                        now.hashAfter(bare));
        log.append(whole);
        editor.apply(whole);
    }

    /** An engine that is up and has nothing to do. */
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
                // The gateway was stopped, or the play is over.
            }
        }
    }
}
