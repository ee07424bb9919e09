package tinroad.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import tinroad.lab.LoopbackRange;
import tinroad.lab.relay.LinkFaults;
import tinroad.lab.relay.StreamRelay;

/** One size of a sweep: its fleet is started, measured and ended. Each wait has an end. */
final class ScalePoint implements AutoCloseable {
    private static final int CALLERS_PORT = 8080;
    private static final int GATEWAY_PORT = 8081;
    private static final int ENGINE_PORT = 4400;
    private static final int FLEET_PORT = 7001;
    private static final int ROSTER_PORT = 8761;
    private static final int BARE_HOST = 200;
    private static final int RELAY_HOST = 201;
    private static final int ROSTER_HOST = 250;
    private static final int FIRST_NET = 221;
    private static final int NETS = 30;
    private static final long START_PATIENCE = 90_000;
    private static final long LOOK_MS = 20;
    private static final long KNOWN_LOOK_MS = 100;
    private static final long WARM_MS = 500;
    private static final long PROBE_MS = 10;

    /** So long a change is waited for. */
    private static final double IN_FORCE_PATIENCE = 2000;

    /**
     * So long after the measured time a change that is late is still told, and one that was told is
     * awaited by the hollow gateways.
     */
    private static final double LATEST_CHANGE = 20_000;

    /** Descriptors that a gateway keeps for itself. */
    private static final int OWN_DESCRIPTORS = 128;

    private static final int LEAST_CONNECTIONS = 4;
    private static final int THREADS = 2;
    private static final double TICK_MS = 20;

    /** Half of the machine's memory at most, all processes together. */
    private static final double MOST_MEMORY_MB = 12_000;

    private static final double REAL_MB = 192;

    /**
     * Heap that a hollow gateway may take: for itself, for each member that it knows, for each
     * entry of its settings, read twice.
     */
    private static final double SELF_MB = 1.5;

    private static final double MEMBER_MB = 0.0015;
    private static final double ENTRY_MB = 0.0008;

    /** Claims that a gateway at rest still tells on, fewer than. */
    private static final double AT_REST = 1;

    /**
     * Reports a second of a gateway that keeps its pace, and the part of them that it makes at
     * least where the machine carries it.
     */
    private static final double REPORTS = 4;

    private static final double CARRIED = 0.8;

    /** Less of all cores than this left is a machine that was full. */
    private static final double FULL = 0.1;

    private final Scale scale;
    private final double x;
    private final Scale.Held sizes;
    private final ScaleRun.Options options;
    private final String run;
    private final Path folder;
    private final List<Line> lines = new ArrayList<>();
    private final List<RealGateway> reals = new ArrayList<>();
    private final List<HollowProcess> hollows = new ArrayList<>();
    private final List<EventLoopGroup> groups = new ArrayList<>();
    private final EventLoop loadLoop = group();
    private final EventLoop engineLoop = group();
    private final EventLoop relayLoop = group();
    private final EventLoop rosterLoop = group();
    private final int hollow;
    private LoopbackRange range;
    private Zones zones;
    private RosterCounter roster;
    private SettingsFile hollowSettings;
    private Load relay;

    /**
     * What the names of figures end with that hang on what the fleet does: nothing where it is at
     * rest.
     */
    private String regime = "";

    private String note = "";

    /** How much of their reports the hollow gateways made in time. */
    private double kept = 1;

    /** What the processes and counters say at one moment. */
    private record Look(
            double at,
            Map<Long, ProcessFigures> processes,
            JsonNode[] hollow,
            long[] roster,
            Map<Integer, long[]> reports,
            double rosterCpuMs,
            long[] machine) {}

    ScalePoint(Scale scale, double x, ScaleRun.Options options, String run, Path folder) {
        this.scale = scale;
        this.x = x;
        this.options = options;
        this.run = run;
        this.folder = folder;
        sizes = scale.at(x);
        hollow = Math.max(0, sizes.gateways() - options.jars().size() * scale.fleet().real());
    }

    private EventLoop group() {
        EventLoopGroup g = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        groups.add(g);
        return g.next();
    }

    /** Plays it; the lines that were measured. */
    List<Line> play() throws IOException, InterruptedException {
        double memory = memoryMb();
        if (memory > MOST_MEMORY_MB) {
            throw new IOException(
                    String.format(
                            Locale.ROOT,
                            "not played: its processes may take %.0f MB, of %.0f",
                            memory,
                            MOST_MEMORY_MB));
        }
        range = LoopbackRange.take(CALLERS_PORT);
        int real = options.jars().size() * scale.fleet().real();
        zones =
                new Zones(
                        IntStream.range(0, real).mapToObj(i -> range.net() + (1 + i)).toList(),
                        FIRST_NET + (int) (ProcessHandle.current().pid() % NETS),
                        scale.fleet().zones(),
                        scale.fleet().regions());
        stands(real);
        startReals();
        startHollows();
        settle();
        connect();
        measure();
        death();
        memory();
        return lines;
    }

    private double eachMb() {
        return SELF_MB
                + MEMBER_MB * sizes.gateways()
                + ENTRY_MB * (sizes.tenants() + sizes.routes());
    }

    private double memoryMb() {
        int processes = (hollow + scale.fleet().perProcess() - 1) / scale.fleet().perProcess();
        return options.jars().size() * scale.fleet().real() * REAL_MB
                + processes
                        * (double)
                                HollowProcess.heapMb(
                                        Math.min(hollow, scale.fleet().perProcess()), eachMb());
    }

    // --- the fleet ---

    private void stands(int real) throws InterruptedException {
        roster = new RosterCounter(real + hollow);
        roster.listen(rosterLoop, range.address(ROSTER_HOST, ROSTER_PORT));
        for (int i = 0; i < real; i++) {
            EchoEngine.listen(engineLoop, range.address(1 + i, ENGINE_PORT));
        }
        BareServer.listen(engineLoop, range.address(BARE_HOST, GATEWAY_PORT));
        new StreamRelay(
                        relayLoop,
                        range.address(RELAY_HOST, CALLERS_PORT),
                        range.address(BARE_HOST, GATEWAY_PORT),
                        from -> new LinkFaults(),
                        false,
                        () -> {},
                        from -> {})
                .listen();
    }

    private String key() {
        return Long.toHexString(new SplittableRandom(scale.seed()).nextLong() | Long.MIN_VALUE);
    }

    private SettingsFile settings(Path file, String name, String host) {
        return new SettingsFile(
                file,
                name,
                host + ":" + GATEWAY_PORT,
                host + ":" + ENGINE_PORT,
                range.net() + ROSTER_HOST + ":" + ROSTER_PORT,
                sizes,
                scale.fleet().sockets());
    }

    private List<String> seeds() {
        return zones.real().stream().limit(2).map(h -> h + ":" + FLEET_PORT).toList();
    }

    private void startReals() throws IOException, InterruptedException {
        Path keys =
                Files.writeString(
                        folder.resolve("keys"),
                        Base64.getEncoder()
                                        .encodeToString(key().getBytes(StandardCharsets.US_ASCII))
                                + "\n");
        for (int i = 0; i < zones.real().size(); i++) {
            int program = i / scale.fleet().real();
            Path own = Files.createDirectories(folder.resolve(RealGateway.name(i)));
            SettingsFile settings =
                    settings(own.resolve("config.json"), RealGateway.name(i), zones.real().get(i));
            settings.publish(0);
            Path set = options.operators().get(program);
            Files.writeString(
                    own.resolve("operator.conf"),
                    (set == null ? "" : Files.readString(set))
                            + String.format(
                                    Locale.ROOT,
                                    "%nfleet { listen = \"%s:%d\", seeds = [%s], zone = \"%s\","
                                            + " key-file = \"%s\" }%n",
                                    zones.real().get(i),
                                    FLEET_PORT,
                                    seeds().stream()
                                            .map(s -> '"' + s + '"')
                                            .collect(Collectors.joining(", ")),
                                    zones.name(i),
                                    keys.toAbsolutePath()));
            boolean first = options.jars().size() > 1 && program == 0;
            reals.add(
                    new RealGateway(
                            i, first ? "_before" : "", options.jars().get(program), own, settings));
        }
        long until = System.currentTimeMillis() + START_PATIENCE;
        double[] ready = new double[reals.size()];
        for (RealGateway r : reals) {
            double at = r.next(RealGateway.READY);
            while (Double.isNaN(at)) {
                if (System.currentTimeMillis() > until || r.process.onExit().isDone()) {
                    throw new IOException("a real gateway did not start: " + r.lastLine());
                }
                Thread.sleep(LOOK_MS);
                at = r.next(RealGateway.READY);
            }
            ready[r.number] = at - r.begunAt;
        }
        perProgram(
                (suffix, some) ->
                        add(
                                "real",
                                "start_ms" + suffix,
                                "ms",
                                some.stream().mapToDouble(r -> ready[r.number]).average().orElse(0),
                                some.size(),
                                some.size() > 1 ? "all of them started at once" : ""));
    }

    private interface OfProgram {
        void tell(String suffix, List<RealGateway> some) throws IOException, InterruptedException;
    }

    private void perProgram(OfProgram told) throws IOException, InterruptedException {
        for (int p = 0; p < options.jars().size(); p++) {
            List<RealGateway> some =
                    reals.subList(p * scale.fleet().real(), (p + 1) * scale.fleet().real());
            told.tell(some.get(0).suffix, some);
        }
    }

    /** The first gateway of each program gets no load: what it spends, it spends for control. */
    private boolean loaded(RealGateway r) {
        return r.number % scale.fleet().real() > 0 || scale.fleet().real() == 1;
    }

    private void startHollows() throws IOException {
        hollowSettings = settings(folder.resolve("hollow.json"), "hollow", range.net() + BARE_HOST);
        hollowSettings.publish(0);
        int first = zones.real().size();
        for (int left = hollow; left > 0; left -= scale.fleet().perProcess()) {
            int count = Math.min(left, scale.fleet().perProcess());
            hollows.add(
                    HollowProcess.start(
                            options.hollowProgram(),
                            new HollowSpec(
                                    first,
                                    count,
                                    THREADS,
                                    zones,
                                    seeds(),
                                    key().getBytes(StandardCharsets.US_ASCII),
                                    hollowSettings.file().toString(),
                                    scale.at(x).loss(),
                                    scale.fleet().delay(),
                                    scale.fleet().regionDelay(),
                                    scale.fleet().enginesAway(),
                                    scale.seed()),
                            folder,
                            eachMb()));
            first += count;
        }
    }

    private JsonNode[] askAll(String line) throws IOException {
        for (HollowProcess h : hollows) {
            h.ask(line);
        }
        JsonNode[] answers = new JsonNode[hollows.size()];
        for (int i = 0; i < answers.length; i++) {
            answers[i] = hollows.get(i).hear();
        }
        return answers;
    }

    private static double sum(JsonNode[] of, String field) {
        return Stream.of(of).mapToDouble(n -> n.path(field).asDouble()).sum();
    }

    /** Waits until all know all and tell no more of it, or as long as the script allows. */
    private void settle() throws IOException, InterruptedException {
        if (hollow == 0) {
            return;
        }
        JsonNode[] first = askAll("figures");
        double begun = System.currentTimeMillis();
        double cpu = hollowCpuMs();
        JsonNode[] now = first;
        int others = sizes.gateways() - 1;
        boolean joined = false;
        while (true) {
            if (!joined && Stream.of(now).allMatch(n -> n.path("knownLeast").asInt() >= others)) {
                joined = true;
                met(first, now, System.currentTimeMillis() - begun, hollowCpuMs() - cpu);
            }
            boolean over = System.currentTimeMillis() - begun > scale.settle();
            if (over && !joined) {
                add(
                        "hollow",
                        "joined_ms",
                        "ms",
                        Double.NaN,
                        hollow,
                        "not within " + ScaleReader.plain(scale.settle()) + " ms");
            }
            if (over || (joined && sum(now, "riding") / hollow < AT_REST)) {
                break;
            }
            Thread.sleep(KNOWN_LOOK_MS);
            now = askAll("figures");
        }
        double known = others == 0 ? 1 : sum(now, "knownSum") / ((double) hollow * others);
        double riding = sum(now, "riding") / hollow;
        add(
                "hollow",
                "start_ms",
                "ms",
                sum(now, "startMs") / hollows.size(),
                hollow,
                "from its settings read to its socket open");
        add("hollow", "known_part", "share", known, hollow, "");
        add(
                "hollow",
                "riding",
                "claims",
                riding,
                hollow,
                "still told on as the measured time begins");
        if (riding >= AT_REST || !joined) {
            regime = "_meeting";
            note =
                    String.format(
                            Locale.ROOT,
                            "a fleet that has just met: a gateway knew %.0f%% of the others, and"
                                    + " told on %.0f claims",
                            100 * known,
                            riding);
        }
    }

    private double hollowCpuMs() throws IOException {
        double sum = 0;
        for (HollowProcess h : hollows) {
            sum += ProcessFigures.of(h.pid()).cpuMs();
        }
        return sum;
    }

    /** What it took a gateway until all know all, from when the last process had answered. */
    private void met(JsonNode[] first, JsonNode[] now, double ms, double cpuMs) {
        String told = "until all know all, after the last process had answered";
        add("hollow", "joined_ms", "ms", ms, hollow, told);
        add("hollow", "join_cpu_ms", "ms", cpuMs / hollow, hollow, told);
        add(
                "hollow",
                "join_bytes",
                "B",
                (sum(now, "inBytes")
                                + sum(now, "outBytes")
                                - sum(first, "inBytes")
                                - sum(first, "outBytes"))
                        / hollow,
                hollow,
                "in and out, " + told);
    }

    // --- load and changes ---

    private void connect() throws IOException, InterruptedException {
        if (sizes.rate() <= 0) {
            return;
        }
        int connections =
                Math.max(
                        LEAST_CONNECTIONS,
                        Math.min(sizes.callers(), scale.fleet().sockets() - OWN_DESCRIPTORS));
        relay = new Load(loadLoop, range.address(RELAY_HOST, CALLERS_PORT), sizes, scale.seed());
        relay.connect(connections);
        for (RealGateway r : reals) {
            if (loaded(r)) {
                r.load =
                        new Load(
                                loadLoop,
                                range.address(1 + r.number, GATEWAY_PORT),
                                sizes,
                                scale.seed());
                r.load.connect(connections);
            }
        }
        ask(WARM_MS, new Histogram(60_000_000, 3));
        loadLoop.submit(() -> loads().forEach(Load::begin)).await();
    }

    private List<Load> loads() {
        return Stream.concat(Stream.of(relay), reals.stream().map(r -> r.load))
                .filter(l -> l != null)
                .toList();
    }

    /** Plans and sends requests for so long: the same ones to all loads. */
    private void ask(double ms, Histogram late) {
        SplittableRandom random = new SplittableRandom(scale.seed());
        List<Load> loads = loads();
        long begun = System.nanoTime();
        double at = 0;
        while (!loads.isEmpty()) {
            at += -Math.log(1 - random.nextDouble()) / sizes.rate() * 1e3;
            if (at > ms) {
                break;
            }
            long planned = begun + (long) (at * 1e6);
            for (long left = planned - System.nanoTime();
                    left > 0;
                    left = planned - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            late.recordValue(Math.min(60_000_000, (System.nanoTime() - planned) / 1000));
            loads.forEach(load -> loadLoop.execute(() -> load.ask(planned)));
        }
    }

    private int changes() {
        return sizes.changes() <= 0
                ? 0
                : (int)
                        Math.max(
                                1,
                                Math.round(
                                        sizes.changes()
                                                * scale.seconds()
                                                / 3.6e6
                                                * scale.fleet().pace()));
    }

    /** What changes came to: times by program's suffix, and how many were told. */
    private static final class Changed {
        private final Map<String, List<Double>> inForce = new TreeMap<>();

        /** When each real gateway was told, by its number. */
        private final Map<Integer, List<Double>> toldAt = new TreeMap<>();

        private int told;
        private long bytes;

        /**
         * Programs that did not take a change in the time that it is waited for: they are not asked
         * again.
         */
        private final Set<String> hopeless = ConcurrentHashMap.newKeySet();
    }

    /**
     * Cuts the first zone off as long as the script has it, then changes the settings through the
     * rest of the time.
     */
    private void change(Changed changed, boolean changes) throws IOException, InterruptedException {
        if (scale.fleet().cut() > 0 && (!changes || scale.sweep() == Scale.Sweep.CHANGES)) {
            askAll("cut 0");
            Thread.sleep((long) scale.fleet().cut());
            askAll("cut -1");
        }
        double ms = scale.seconds() - scale.fleet().cut();
        int n = changes ? changes() : 0;
        double begun = System.currentTimeMillis();
        for (int i = 1; i <= n; i++) {
            double due = begun + ms * (i - 0.5) / n;
            while (System.currentTimeMillis() < due) {
                Thread.sleep(1);
            }
            if (System.currentTimeMillis() > begun + ms + LATEST_CHANGE) {
                break;
            }
            changed.told++;
            changed.bytes = hollowSettings.publish(i);
            for (HollowProcess h : hollows) {
                h.ask("change");
            }
            for (RealGateway r : reals) {
                r.settings.publish(i);
                double told = System.currentTimeMillis();
                r.process.signal("HUP");
                changed.toldAt.computeIfAbsent(r.number, k -> new ArrayList<>()).add(told);
                if (r.load != null && !changed.hopeless.contains(r.suffix)) {
                    probe(r, SettingsFile.changedRoute(i), told, changed);
                }
            }
            for (HollowProcess h : hollows) {
                h.hear();
            }
        }
    }

    /**
     * Asks for the changed route again and again, until it is served or nobody waits for it any
     * more.
     */
    private void probe(RealGateway r, String route, double told, Changed changed) {
        r.load.probe(
                route,
                status -> {
                    double took = System.currentTimeMillis() - told;
                    if (status == 200) {
                        synchronized (changed) {
                            changed.inForce
                                    .computeIfAbsent(r.suffix, s -> new ArrayList<>())
                                    .add(took);
                        }
                    } else if (took < IN_FORCE_PATIENCE) {
                        loadLoop.schedule(
                                () -> probe(r, route, told, changed),
                                PROBE_MS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        changed.hopeless.add(r.suffix);
                    }
                });
    }

    // --- what is measured ---

    private Look look() throws IOException, InterruptedException {
        Map<Long, ProcessFigures> processes = new TreeMap<>();
        JsonNode[] hollow = askAll("figures");
        for (RealGateway r : reals) {
            processes.put(r.process.pid(), ProcessFigures.of(r.process.pid()));
        }
        for (HollowProcess h : hollows) {
            processes.put(h.pid(), ProcessFigures.of(h.pid()));
        }
        long[][] rosterAll = new long[1][];
        Map<Integer, long[]> reports = new TreeMap<>();
        long[] cpu = new long[1];
        rosterLoop
                .submit(
                        () -> {
                            rosterAll[0] = roster.counted(null);
                            reals.forEach(
                                    r ->
                                            reports.put(
                                                    r.number,
                                                    roster.counted(RealGateway.name(r.number))));
                            cpu[0] =
                                    ManagementFactory.getThreadMXBean()
                                            .getThreadCpuTime(Thread.currentThread().getId());
                        })
                .await();
        return new Look(
                System.nanoTime() / 1e6,
                processes,
                hollow,
                rosterAll[0],
                reports,
                cpu[0] / 1e6,
                machine());
    }

    /** Idle and all time of all cores so far, in ticks. */
    private static long[] machine() throws IOException {
        String[] words =
                Files.readAllLines(Path.of("/proc/stat"), StandardCharsets.US_ASCII)
                        .get(0)
                        .split("\\s+");
        return new long[] {
            Long.parseLong(words[4]), Stream.of(words).skip(1).mapToLong(Long::parseLong).sum()
        };
    }

    /**
     * Where changes do not grow they have a time of their own after all else: what a gateway spends
     * at rest holds none of them.
     */
    private void measure() throws IOException, InterruptedException {
        for (RealGateway r : reals) {
            r.skip();
        }
        boolean together = scale.sweep() == Scale.Sweep.CHANGES;
        Changed changed = new Changed();
        Histogram late = new Histogram(60_000_000, 3);
        Look before = look();
        Look after = pass(changed, together, late);
        double left =
                (double) (after.machine[0] - before.machine[0])
                        / Math.max(1, after.machine[1] - before.machine[1]);
        if (left < FULL) {
            note +=
                    (note.isEmpty() ? "" : "; ")
                            + String.format(
                                    Locale.ROOT,
                                    "the machine was full: %.0f%% of its cores left",
                                    100 * left);
        }
        double reported =
                after.roster[0]
                        - before.roster[0]
                        - after.reports.keySet().stream()
                                .mapToDouble(
                                        k -> after.reports.get(k)[0] - before.reports.get(k)[0])
                                .sum();
        kept = hollow == 0 ? 1 : reported / hollow / ((after.at - before.at) / 1e3) / REPORTS;
        processes(before, after);
        wires(before, after);
        requests(late);
        if (!together && changes() > 0) {
            changeCost(before, after, pass(changed, true, new Histogram(60_000_000, 3)), changed);
        }
        changed(changed);
    }

    /**
     * The measured time passes, with load and, {@code changes}, with changes; how all stands at its
     * end.
     */
    private Look pass(Changed changed, boolean changes, Histogram late)
            throws IOException, InterruptedException {
        IOException[] failed = new IOException[1];
        Thread changer =
                new Thread(
                        () -> {
                            try {
                                change(changed, changes);
                            } catch (IOException e) {
                                failed[0] = e;
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "changes");
        double end = System.nanoTime() / 1e6 + scale.seconds();
        changer.start();
        ask(scale.seconds(), late);
        while (System.nanoTime() / 1e6 < end) {
            Thread.sleep(1);
        }
        changer.join();
        if (failed[0] != null) {
            throw failed[0];
        }
        return look();
    }

    /** What a change costs a real gateway without load, beyond what it spends at rest. */
    private void changeCost(Look before, Look rest, Look after, Changed changed)
            throws IOException, InterruptedException {
        perProgram(
                (suffix, some) -> {
                    List<Long> pid = List.of(some.get(0).process.pid());
                    double atRest =
                            cpu(before, rest, pid) / (rest.at - before.at) * (after.at - rest.at);
                    add(
                            "real",
                            "change_cpu_ms" + suffix,
                            "ms",
                            (cpu(rest, after, pid) - atRest) / Math.max(1, changed.told),
                            changed.told,
                            "processor time for each change of one entry, beyond that at rest; in"
                                    + " steps of 10 ms for all of them");
                });
    }

    private void processes(Look before, Look after) throws IOException, InterruptedException {
        double ms = after.at - before.at;
        perProgram(
                (suffix, some) -> {
                    for (boolean loaded : new boolean[] {false, true}) {
                        List<RealGateway> these =
                                some.stream().filter(r -> loaded(r) == loaded).toList();
                        String end = (loaded ? "_loaded" : "") + suffix;
                        if (!these.isEmpty()) {
                            List<Long> pids = these.stream().map(r -> r.process.pid()).toList();
                            add(
                                    "real",
                                    "cpu_part" + end + regime,
                                    "part of a core",
                                    cpu(before, after, pids) / ms / pids.size(),
                                    pids.size(),
                                    "");
                            add(
                                    "real",
                                    "loop_part" + end + regime,
                                    "part of a core",
                                    loop(before, after, pids) / ms / pids.size(),
                                    pids.size(),
                                    "");
                            add(
                                    "real",
                                    "resident_mb" + end,
                                    "MB",
                                    resident(after, pids) / pids.size(),
                                    pids.size(),
                                    "");
                            add(
                                    "real",
                                    "descriptors" + end,
                                    "",
                                    pids.stream()
                                            .mapToInt(p -> after.processes.get(p).descriptors())
                                            .average()
                                            .orElse(0),
                                    pids.size(),
                                    "");
                        }
                    }
                });
        List<Long> pids = hollows.stream().map(HollowProcess::pid).toList();
        if (hollow > 0) {
            busy("cpu_part", "part of a core", cpu(before, after, pids) / ms / hollow, "");
            busy("loop_part", "part of a core", loop(before, after, pids) / ms / hollow, "");
            add(
                    "hollow",
                    "resident_mb",
                    "MB",
                    resident(after, pids) / hollow,
                    hollow,
                    "its part of a process that " + hollows.get(0).count() + " share");
            add(
                    "hollow",
                    "descriptors",
                    "",
                    pids.stream().mapToInt(p -> after.processes.get(p).descriptors()).sum()
                            / (double) hollow,
                    hollow,
                    "");
            busy(
                    "stall_ms",
                    "ms",
                    Stream.of(after.hollow)
                            .mapToDouble(n -> n.path("stallMs").asDouble())
                            .max()
                            .orElse(0),
                    "an event loop that " + hollows.get(0).count() / THREADS + " share");
        }
        add(
                "roster",
                "cpu_part",
                "part of a core",
                (after.rosterCpuMs - before.rosterCpuMs) / ms,
                sizes.gateways(),
                "reports only, on one thread");
        add(
                "roster",
                "datagrams_in_s",
                "1/s",
                (after.roster[0] - before.roster[0]) / ms * 1e3,
                sizes.gateways(),
                "");
        add(
                "roster",
                "bytes_in_s",
                "B/s",
                (after.roster[1] - before.roster[1]) / ms * 1e3,
                sizes.gateways(),
                "");
    }

    private static double cpu(Look before, Look after, List<Long> pids) {
        return pids.stream()
                .mapToDouble(p -> after.processes.get(p).cpuMs() - before.processes.get(p).cpuMs())
                .sum();
    }

    private static double loop(Look before, Look after, List<Long> pids) {
        return pids.stream()
                .mapToDouble(
                        p -> after.processes.get(p).loopMs() - before.processes.get(p).loopMs())
                .sum();
    }

    private static double resident(Look at, List<Long> pids) {
        return pids.stream().mapToDouble(p -> at.processes.get(p).residentMb()).sum();
    }

    /** Datagrams and bytes: a hollow gateway counts its own, and what it has with the real ones. */
    private void wires(Look before, Look after) {
        if (hollow == 0) {
            return;
        }
        double s = (after.at - before.at) / 1e3;
        double[] reports = new double[2];
        for (int i = 0; i < 2; i++) {
            int at = i;
            double real =
                    after.reports.keySet().stream()
                            .mapToDouble(r -> after.reports.get(r)[at] - before.reports.get(r)[at])
                            .sum();
            reports[i] = (after.roster[i] - before.roster[i] - real) / s / hollow;
        }
        String[] what = {"in", "inBytes", "out", "outBytes"};
        String[] names = {"datagrams_in_s", "bytes_in_s", "datagrams_out_s", "bytes_out_s"};
        for (int i = 0; i < what.length; i++) {
            double each =
                    (sum(after.hollow, what[i]) - sum(before.hollow, what[i])) / s / hollow
                            + (i < 2 ? 0 : reports[i - 2]);
            busy(names[i], i % 2 == 0 ? "1/s" : "B/s", each, "");
        }
        double datagrams =
                sum(after.hollow, "in")
                        + sum(after.hollow, "out")
                        - sum(before.hollow, "in")
                        - sum(before.hollow, "out");
        double cpuMs = cpu(before, after, hollows.stream().map(HollowProcess::pid).toList());
        add(
                "hollow",
                "cpu_us_datagram" + regime,
                "us",
                cpuMs * 1e3 / datagrams,
                hollow,
                "processor time for each datagram of the fleet, in or out");
        busy(
                "walked_tick",
                "entries",
                (sum(after.hollow, "walked") - sum(before.hollow, "walked"))
                        / hollow
                        / s
                        * TICK_MS
                        / 1e3,
                "entries of the membership that are walked in a tick of 20 ms");
        String[] fields = {"to", "toBytes", "from", "fromBytes"};
        List<RealGateway> these = reals.stream().filter(r -> r.suffix.isEmpty()).toList();
        for (int i = 0; i < fields.length; i++) {
            double each = 0;
            for (RealGateway r : these) {
                double reported =
                        i < 2
                                ? 0
                                : (after.reports.get(r.number)[i - 2]
                                                - before.reports.get(r.number)[i - 2])
                                        / s;
                each +=
                        (ofReal(after, r, fields[i]) - ofReal(before, r, fields[i]))
                                        / s
                                        / these.size()
                                + reported / these.size();
            }
            add(
                    "real",
                    names[i] + regime,
                    i % 2 == 0 ? "1/s" : "B/s",
                    each,
                    these.size(),
                    "as counted by the hollow ones and the roster");
        }
    }

    private static double ofReal(Look at, RealGateway r, String field) {
        return Stream.of(at.hollow)
                .mapToDouble(n -> n.path("real").path(r.number).path(field).asDouble())
                .sum();
    }

    private void requests(Histogram late) throws IOException, InterruptedException {
        if (relay == null) {
            return;
        }
        Load.Result[] bare = new Load.Result[1];
        Map<Integer, Load.Result> through = new TreeMap<>();
        loadLoop.submit(
                        () -> {
                            bare[0] = relay.result();
                            reals.stream()
                                    .filter(r -> r.load != null)
                                    .forEach(r -> through.put(r.number, r.load.result()));
                        })
                .await();
        double lateMs = late.getTotalCount() == 0 ? 0 : late.getValueAtPercentile(99) / 1000.0;
        add(
                "relay",
                "p50_ms",
                "ms",
                bare[0].ms(50),
                bare[0].took().getTotalCount(),
                String.format(Locale.ROOT, "the load itself was late by %.2f ms (p99)", lateMs));
        add("relay", "p99_ms", "ms", bare[0].ms(99), bare[0].took().getTotalCount(), "");
        perProgram(
                (suffix, some) -> {
                    List<Load.Result> these =
                            some.stream()
                                    .filter(r -> r.load != null)
                                    .map(r -> through.get(r.number))
                                    .toList();
                    if (these.isEmpty()) {
                        return;
                    }
                    Histogram all = new Histogram(60_000_000, 3);
                    these.forEach(t -> all.add(t.took()));
                    long others = these.stream().mapToLong(Load.Result::others).sum();
                    long asked = these.stream().mapToLong(Load.Result::asked).sum();
                    String told =
                            others == 0
                                    ? ""
                                    : others + " of " + asked + " requests were not served";
                    double worst = all.getMaxValue() / 1000.0;
                    add(
                            "real",
                            "added_p50_ms" + suffix,
                            "ms",
                            all.getValueAtPercentile(50) / 1000.0 - bare[0].ms(50),
                            all.getTotalCount(),
                            told);
                    add(
                            "real",
                            "added_p99_ms" + suffix,
                            "ms",
                            all.getValueAtPercentile(99) / 1000.0 - bare[0].ms(99),
                            all.getTotalCount(),
                            told);
                    add(
                            "real",
                            "stall_ms" + suffix,
                            "ms",
                            worst,
                            all.getTotalCount(),
                            "the longest request: its event loop stood still no longer");
                });
    }

    private void changed(Changed changed) throws IOException, InterruptedException {
        if (changes() == 0) {
            return;
        }
        long until = System.currentTimeMillis() + (long) IN_FORCE_PATIENCE;
        while (System.currentTimeMillis() < until
                && count(changed)
                        < changed.told
                                * reals.stream()
                                        .filter(
                                                r ->
                                                        r.load != null
                                                                && !changed.hopeless.contains(
                                                                        r.suffix))
                                        .count()) {
            Thread.sleep(LOOK_MS);
        }
        String pace =
                changed.told
                        + " of "
                        + changes()
                        + " changes, an hour's at "
                        + ScaleReader.plain(scale.fleet().pace())
                        + " times the pace";
        perProgram(
                (suffix, some) -> {
                    List<Double> took;
                    synchronized (changed) {
                        took = new ArrayList<>(changed.inForce.getOrDefault(suffix, List.of()));
                    }
                    int expected =
                            changed.told * (int) some.stream().filter(r -> r.load != null).count();
                    String told =
                            took.isEmpty()
                                    ? "not in force after "
                                            + ScaleReader.plain(IN_FORCE_PATIENCE)
                                            + " ms: it waits for the next start; "
                                            + pace
                                    : took.size() < expected
                                            ? took.size()
                                                    + " of "
                                                    + expected
                                                    + " came in force; "
                                                    + pace
                                            : pace;
                    times("real", "in_force", suffix, took, told);
                    List<Double> reread = new ArrayList<>();
                    for (RealGateway r : some) {
                        reread.addAll(
                                rereadTook(r, changed.toldAt.getOrDefault(r.number, List.of())));
                    }
                    times(
                            "real",
                            "reread",
                            suffix,
                            reread,
                            "until the log has 'configuration read again'; of the settings,"
                                    + " addresses only may count; "
                                    + pace);
                });
        JsonNode[] now = askAll("figures");
        double latest = System.currentTimeMillis() + LATEST_CHANGE;
        while (Stream.of(now).mapToInt(n -> n.path("inForceMs").size()).sum()
                        < changed.told * hollow
                && System.currentTimeMillis() < latest) {
            Thread.sleep(LOOK_MS);
            now = askAll("figures");
        }
        List<Double> hollowTimes = new ArrayList<>();
        Stream.of(now)
                .forEach(n -> n.path("inForceMs").forEach(v -> hollowTimes.add(v.asDouble())));
        times(
                "hollow",
                "reread",
                "",
                hollowTimes,
                "settings read and addresses applied, one gateway of a process after the other; "
                        + pace);
        add(
                "hollow",
                "change_bytes",
                "B",
                changed.bytes,
                changed.told,
                "read for a change of one entry: the file whole");
    }

    /**
     * How long a real gateway took to read again each time it was told, by its log; none where
     * signals fell together.
     */
    private static List<Double> rereadTook(RealGateway r, List<Double> toldAt)
            throws IOException, InterruptedException {
        List<Double> at = new ArrayList<>();
        double until = System.currentTimeMillis() + IN_FORCE_PATIENCE;
        while (at.size() < toldAt.size() && System.currentTimeMillis() < until) {
            double next = r.next(RealGateway.REREAD);
            if (Double.isNaN(next)) {
                Thread.sleep(LOOK_MS);
            } else {
                at.add(next);
            }
        }
        return at.size() < toldAt.size()
                ? List.of()
                : IntStream.range(0, at.size()).mapToObj(i -> at.get(i) - toldAt.get(i)).toList();
    }

    private static int count(Changed changed) {
        synchronized (changed) {
            return changed.inForce.values().stream().mapToInt(List::size).sum();
        }
    }

    private void times(String role, String name, String suffix, List<Double> took, String told) {
        Collections.sort(took);
        double[] parts = {0.5, 0.99, 1};
        String[] words = {"median", "p99", "worst"};
        for (int i = 0; i < parts.length; i++) {
            double value =
                    took.isEmpty()
                            ? Double.NaN
                            : took.get((int) Math.ceil(parts[i] * took.size()) - 1);
            add(role, name + "_" + words[i] + "_ms" + suffix, "ms", value, took.size(), told);
        }
    }

    // --- the end ---

    /** One hollow gateway falls silent; how long until all others hold it dead. */
    private void death() throws IOException, InterruptedException {
        if (hollow < 2 || scale.death() <= 0) {
            return;
        }
        int number = zones.real().size() + hollow - 1;
        String name = Hollow.name(number);
        Pattern dead = Pattern.compile(name + " is dead");
        for (RealGateway r : reals) {
            r.skip();
        }
        double begun = System.currentTimeMillis();
        askAll("die " + number);
        JsonNode[] now = askAll("death " + name);
        double[] heardAt = new double[reals.size()];
        Arrays.fill(heardAt, Double.NaN);
        List<Double> took = new ArrayList<>();
        while (true) {
            took.clear();
            Stream.of(now)
                    .forEach(
                            n ->
                                    n.path("heardOfDeathAt")
                                            .forEach(v -> took.add(v.asDouble() - begun)));
            for (RealGateway r : reals) {
                heardAt[r.number] =
                        Double.isNaN(heardAt[r.number]) ? r.next(dead) : heardAt[r.number];
                if (!Double.isNaN(heardAt[r.number])) {
                    took.add(heardAt[r.number] - begun);
                }
            }
            if (took.size() == sizes.gateways() - 1
                    || System.currentTimeMillis() - begun > scale.death()) {
                break;
            }
            Thread.sleep(KNOWN_LOOK_MS);
            now = askAll("figures");
        }
        Collections.sort(took);
        boolean all = took.size() == sizes.gateways() - 1;
        add(
                "hollow",
                "death_known_ms",
                "ms",
                all ? took.get(took.size() - 1) : Double.NaN,
                took.size(),
                all
                        ? "until the last one knew"
                        : took.size()
                                + " of "
                                + (sizes.gateways() - 1)
                                + " knew after "
                                + ScaleReader.plain(scale.death())
                                + " ms");
        add(
                "hollow",
                "death_known_median_ms",
                "ms",
                took.size() < sizes.gateways() / 2
                        ? Double.NaN
                        : took.get(sizes.gateways() / 2 - 1),
                took.size(),
                "until half of them knew");
    }

    private void memory() throws IOException, InterruptedException {
        if (hollow > 0) {
            add("hollow", "heap_mb", "MB", sum(askAll("memory"), "heapMb") / hollow, hollow, "");
        }
        perProgram(
                (suffix, some) -> {
                    double heap = 0;
                    for (RealGateway r : some) {
                        heap += ProcessFigures.heapAfterCollectionMb(r.process.pid());
                    }
                    add("real", "heap_mb" + suffix, "MB", heap / some.size(), some.size(), "");
                });
    }

    /** A figure of the hollow gateways that hangs on what the fleet does. */
    private void busy(String metric, String unit, double value, String own) {
        add("hollow", metric + regime, unit, value, hollow, own);
    }

    /**
     * Notes a figure. Where the machine starved the fleet there is none, whosever it is: what it
     * came to is in its note.
     */
    private void add(String role, String metric, String unit, double value, long n, String own) {
        boolean carried = kept >= CARRIED;
        String first =
                carried
                        ? own
                        : String.format(
                                Locale.ROOT,
                                "not carried: the hollow gateways kept %.0f%% of their pace, and"
                                        + " this came to %.4g",
                                100 * kept,
                                value);
        String told = first.isEmpty() || note.isEmpty() ? first + note : first + "; " + note;
        lines.add(
                new Line(
                        run,
                        scale.sweep().name().toLowerCase(Locale.ROOT),
                        x,
                        role,
                        metric,
                        unit,
                        carried ? value : Double.NaN,
                        n,
                        told));
    }

    /** Ends all that it has started. */
    @Override
    public void close() throws IOException {
        reals.forEach(r -> r.process.kill());
        hollows.forEach(HollowProcess::close);
        groups.forEach(g -> g.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        if (range != null) {
            range.close();
        }
    }
}
