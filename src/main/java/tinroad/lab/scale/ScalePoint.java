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

/** One size of a sweep: starts its fleet, measures it and ends it. Every wait has a timeout. */
final class ScalePoint implements AutoCloseable {
    private static final int RELAY_PORT = 8080;
    private static final int GATEWAY_PORT = 8081;
    private static final int ENGINE_PORT = 4400;
    private static final int GOSSIP_PORT = 7001;
    private static final int REGISTRY_PORT = 8761;
    private static final int BASELINE_HOST = 200;
    private static final int RELAY_HOST = 201;
    private static final int REGISTRY_HOST = 250;
    private static final int FIRST_HOLLOW_NET = 221;
    private static final int HOLLOW_NETS = 30;
    private static final long START_TIMEOUT_MILLIS = 90_000;
    private static final long POLL_MILLIS = 20;
    private static final long MEMBERSHIP_POLL_MILLIS = 100;
    private static final long WARM_UP_MILLIS = 500;
    private static final long PROBE_PERIOD_MILLIS = 10;

    /** How long a change is awaited to be in force. */
    private static final double IN_FORCE_TIMEOUT_MILLIS = 2000;

    /**
     * How long after the measured time a late change is still published, and a published one is
     * awaited at the hollow gateways.
     */
    private static final double LATE_CHANGE_TIMEOUT_MILLIS = 20_000;

    /** Descriptors that a gateway needs for itself. */
    private static final int GATEWAY_OWN_DESCRIPTORS = 128;

    private static final int MIN_CONNECTIONS = 4;
    private static final int LOOPS_PER_PROCESS = 2;
    private static final double MEMBERSHIP_TICK_MILLIS = 20;

    /** Limit for all processes together: half of the machine's memory. */
    private static final double MAX_MEMORY_MB = 12_000;

    private static final double REAL_GATEWAY_MB = 192;

    /**
     * Heap of a hollow gateway: a fixed part, a part for each member that it knows, and a part for
     * each entry of its settings, which it reads twice.
     */
    private static final double HOLLOW_HEAP_MB = 1.5;

    private static final double HEAP_PER_MEMBER_MB = 0.0015;
    private static final double HEAP_PER_ENTRY_MB = 0.0008;

    /** A fleet is at rest while the piggyback queues contain fewer updates than this on average. */
    private static final double MAX_QUEUED_AT_REST = 1;

    /** Load reports of a gateway that keeps its pace. */
    private static final double REPORTS_PER_SECOND = 4;

    /** The smallest share of those reports at which the machine counts as fast enough. */
    private static final double MIN_REPORT_SHARE = 0.8;

    /** A machine with a smaller share of idle processor time counts as full. */
    private static final double MIN_IDLE_SHARE = 0.1;

    private final ScaleScript script;
    private final double size;
    private final ScaleScript.Parameters parameters;
    private final ScaleRun.Options options;
    private final String runId;
    private final Path folder;
    private final List<Measurement> measurements = new ArrayList<>();
    private final List<RealGateway> realGateways = new ArrayList<>();
    private final List<HollowProcess> hollowProcesses = new ArrayList<>();
    private final List<EventLoopGroup> eventLoopGroups = new ArrayList<>();
    private final EventLoop loadLoop = newEventLoop();
    private final EventLoop engineLoop = newEventLoop();
    private final EventLoop relayLoop = newEventLoop();
    private final EventLoop registryLoop = newEventLoop();
    private final int hollowCount;
    private LoopbackRange range;
    private Topology topology;
    private CountingRegistry registry;
    private SettingsFile hollowSettings;
    private LoadGenerator relayLoad;

    /**
     * The end of the names of metrics that depend on the activity of the fleet; empty for a fleet
     * at rest.
     */
    private String conditionSuffix = "";

    private String conditionNote = "";

    /**
     * The share of the expected load reports that the hollow gateways have sent; below {@link
     * #MIN_REPORT_SHARE} the machine was too slow for the fleet.
     */
    private double reportShare = 1;

    /** The state of all processes and counters at one moment. */
    private record Sample(
            double atMillis,
            Map<Long, ProcessStats> processStats,
            JsonNode[] hollowStats,
            long[] registryTraffic,
            Map<Integer, long[]> reportsByGateway,
            double registryCpuMillis,
            long[] machineTicks) {}

    ScalePoint(
            ScaleScript script, double size, ScaleRun.Options options, String runId, Path folder) {
        this.script = script;
        this.size = size;
        this.options = options;
        this.runId = runId;
        this.folder = folder;
        parameters = script.parametersAt(size);
        hollowCount =
                Math.max(
                        0,
                        parameters.gateways()
                                - options.jars().size() * script.fleet().realPerProgram());
    }

    private EventLoop newEventLoop() {
        EventLoopGroup created = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        eventLoopGroups.add(created);
        return created.next();
    }

    /** Runs this size; returns its measurements. */
    List<Measurement> run() throws IOException, InterruptedException {
        double memory = expectedMemoryMb();
        if (memory > MAX_MEMORY_MB) {
            throw new IOException(
                    String.format(
                            Locale.ROOT,
                            "not played: its processes may take %.0f MB, of %.0f",
                            memory,
                            MAX_MEMORY_MB));
        }
        range = LoopbackRange.take(RELAY_PORT);
        int realCount = options.jars().size() * script.fleet().realPerProgram();
        topology =
                new Topology(
                        IntStream.range(0, realCount).mapToObj(i -> range.net() + (1 + i)).toList(),
                        FIRST_HOLLOW_NET + (int) (ProcessHandle.current().pid() % HOLLOW_NETS),
                        script.fleet().zones(),
                        script.fleet().regions());
        startFakes(realCount);
        startRealGateways();
        startHollowProcesses();
        awaitMembership();
        connectLoad();
        measure();
        measureDeathDetection();
        measureHeap();
        return measurements;
    }

    private double heapPerHollowMb() {
        return HOLLOW_HEAP_MB
                + HEAP_PER_MEMBER_MB * parameters.gateways()
                + HEAP_PER_ENTRY_MB * (parameters.tenants() + parameters.routes());
    }

    private double expectedMemoryMb() {
        int processes =
                (hollowCount + script.fleet().hollowPerProcess() - 1)
                        / script.fleet().hollowPerProcess();
        return options.jars().size() * script.fleet().realPerProgram() * REAL_GATEWAY_MB
                + processes
                        * (double)
                                HollowProcess.heapMb(
                                        Math.min(hollowCount, script.fleet().hollowPerProcess()),
                                        heapPerHollowMb());
    }

    // --- the fleet ---

    private void startFakes(int realCount) throws InterruptedException {
        registry = new CountingRegistry(realCount + hollowCount);
        registry.listen(registryLoop, range.address(REGISTRY_HOST, REGISTRY_PORT));
        for (int i = 0; i < realCount; i++) {
            EchoEngine.listen(engineLoop, range.address(1 + i, ENGINE_PORT));
        }
        BaselineServer.listen(engineLoop, range.address(BASELINE_HOST, GATEWAY_PORT));
        new StreamRelay(
                        relayLoop,
                        range.address(RELAY_HOST, RELAY_PORT),
                        range.address(BASELINE_HOST, GATEWAY_PORT),
                        from -> new LinkFaults(),
                        false,
                        () -> {},
                        from -> {})
                .listen();
    }

    private String gossipKey() {
        return Long.toHexString(new SplittableRandom(script.seed()).nextLong() | Long.MIN_VALUE);
    }

    private SettingsFile settingsFile(Path file, String name, String host) {
        return new SettingsFile(
                file,
                name,
                host + ":" + GATEWAY_PORT,
                host + ":" + ENGINE_PORT,
                range.net() + REGISTRY_HOST + ":" + REGISTRY_PORT,
                parameters,
                script.fleet().maxDescriptors());
    }

    private List<String> seedAddresses() {
        return topology.real().stream().limit(2).map(h -> h + ":" + GOSSIP_PORT).toList();
    }

    private void startRealGateways() throws IOException, InterruptedException {
        Path keys =
                Files.writeString(
                        folder.resolve("keys"),
                        Base64.getEncoder()
                                        .encodeToString(
                                                gossipKey().getBytes(StandardCharsets.US_ASCII))
                                + "\n");
        for (int i = 0; i < topology.real().size(); i++) {
            int program = i / script.fleet().realPerProgram();
            Path gatewayFolder = Files.createDirectories(folder.resolve(RealGateway.name(i)));
            SettingsFile settings =
                    settingsFile(
                            gatewayFolder.resolve("config.json"),
                            RealGateway.name(i),
                            topology.real().get(i));
            settings.publish(0);
            Path operatorFile = options.operatorFiles().get(program);
            Files.writeString(
                    gatewayFolder.resolve("operator.conf"),
                    (operatorFile == null ? "" : Files.readString(operatorFile))
                            + String.format(
                                    Locale.ROOT,
                                    "%nfleet { listen = \"%s:%d\", seeds = [%s], zone = \"%s\","
                                            + " key-file = \"%s\" }%n",
                                    topology.real().get(i),
                                    GOSSIP_PORT,
                                    seedAddresses().stream()
                                            .map(s -> '"' + s + '"')
                                            .collect(Collectors.joining(", ")),
                                    topology.zoneName(i),
                                    keys.toAbsolutePath()));
            boolean first = options.jars().size() > 1 && program == 0;
            realGateways.add(
                    new RealGateway(
                            i,
                            first ? "_before" : "",
                            options.jars().get(program),
                            gatewayFolder,
                            settings));
        }
        long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        double[] ready = new double[realGateways.size()];
        for (RealGateway r : realGateways) {
            double readyAt = r.nextMatchMillis(RealGateway.READY_LINE);
            while (Double.isNaN(readyAt)) {
                if (System.currentTimeMillis() > deadline || r.process.onExit().isDone()) {
                    throw new IOException("a real gateway did not start: " + r.lastLogLine());
                }
                Thread.sleep(POLL_MILLIS);
                readyAt = r.nextMatchMillis(RealGateway.READY_LINE);
            }
            ready[r.number] = readyAt - r.startedAtMillis;
        }
        forEachProgram(
                (suffix, gateways) ->
                        addMeasurement(
                                "real",
                                "start_ms" + suffix,
                                "ms",
                                gateways.stream()
                                        .mapToDouble(r -> ready[r.number])
                                        .average()
                                        .orElse(0),
                                gateways.size(),
                                gateways.size() > 1 ? "all of them started at once" : ""));
    }

    private interface ProgramAction {
        void accept(String suffix, List<RealGateway> gateways)
                throws IOException, InterruptedException;
    }

    private void forEachProgram(ProgramAction action) throws IOException, InterruptedException {
        for (int p = 0; p < options.jars().size(); p++) {
            List<RealGateway> gateways =
                    realGateways.subList(
                            p * script.fleet().realPerProgram(),
                            (p + 1) * script.fleet().realPerProgram());
            action.accept(gateways.get(0).metricSuffix, gateways);
        }
    }

    /**
     * The first gateway of each program gets no load, so that its costs are those of the control
     * side alone.
     */
    private boolean getsLoad(RealGateway r) {
        return r.number % script.fleet().realPerProgram() > 0
                || script.fleet().realPerProgram() == 1;
    }

    private void startHollowProcesses() throws IOException {
        hollowSettings =
                settingsFile(folder.resolve("hollow.json"), "hollow", range.net() + BASELINE_HOST);
        hollowSettings.publish(0);
        int first = topology.real().size();
        for (int remaining = hollowCount;
                remaining > 0;
                remaining -= script.fleet().hollowPerProcess()) {
            int count = Math.min(remaining, script.fleet().hollowPerProcess());
            hollowProcesses.add(
                    HollowProcess.start(
                            options.hollowProgram(),
                            new HollowSpec(
                                    first,
                                    count,
                                    LOOPS_PER_PROCESS,
                                    topology,
                                    seedAddresses(),
                                    gossipKey().getBytes(StandardCharsets.US_ASCII),
                                    hollowSettings.file().toString(),
                                    script.parametersAt(size).loss(),
                                    script.fleet().zoneDelayMillis(),
                                    script.fleet().regionDelayMillis(),
                                    script.fleet().enginesAwayShare(),
                                    script.seed()),
                            folder,
                            heapPerHollowMb()));
            first += count;
        }
    }

    private JsonNode[] requestAll(String line) throws IOException {
        for (HollowProcess h : hollowProcesses) {
            h.send(line);
        }
        JsonNode[] answers = new JsonNode[hollowProcesses.size()];
        for (int i = 0; i < answers.length; i++) {
            answers[i] = hollowProcesses.get(i).receive();
        }
        return answers;
    }

    private static double sum(JsonNode[] nodes, String field) {
        return Stream.of(nodes).mapToDouble(n -> n.path(field).asDouble()).sum();
    }

    /**
     * Waits until all members know all others and the piggyback queues are nearly empty, or until
     * the timeout of the script.
     */
    private void awaitMembership() throws IOException, InterruptedException {
        if (hollowCount == 0) {
            return;
        }
        JsonNode[] first = requestAll("figures");
        double startedAt = System.currentTimeMillis();
        double cpu = hollowCpuMillis();
        JsonNode[] current = first;
        int otherCount = parameters.gateways() - 1;
        boolean joined = false;
        while (true) {
            if (!joined
                    && Stream.of(current)
                            .allMatch(n -> n.path("knownLeast").asInt() >= otherCount)) {
                joined = true;
                recordJoin(
                        first,
                        current,
                        System.currentTimeMillis() - startedAt,
                        hollowCpuMillis() - cpu);
            }
            boolean timedOut =
                    System.currentTimeMillis() - startedAt > script.settleTimeoutMillis();
            if (timedOut && !joined) {
                addMeasurement(
                        "hollow",
                        "joined_ms",
                        "ms",
                        Double.NaN,
                        hollowCount,
                        "not within "
                                + ScaleReader.formatNumber(script.settleTimeoutMillis())
                                + " ms");
            }
            if (timedOut || (joined && sum(current, "riding") / hollowCount < MAX_QUEUED_AT_REST)) {
                break;
            }
            Thread.sleep(MEMBERSHIP_POLL_MILLIS);
            current = requestAll("figures");
        }
        double knownShare =
                otherCount == 0
                        ? 1
                        : sum(current, "knownSum") / ((double) hollowCount * otherCount);
        double queuedUpdates = sum(current, "riding") / hollowCount;
        addMeasurement(
                "hollow",
                "start_ms",
                "ms",
                sum(current, "startMs") / hollowProcesses.size(),
                hollowCount,
                "from its settings read to its socket open");
        addMeasurement("hollow", "known_part", "share", knownShare, hollowCount, "");
        addMeasurement(
                "hollow",
                "riding",
                "claims",
                queuedUpdates,
                hollowCount,
                "still told on as the measured time begins");
        if (queuedUpdates >= MAX_QUEUED_AT_REST || !joined) {
            conditionSuffix = "_meeting";
            conditionNote =
                    String.format(
                            Locale.ROOT,
                            "a fleet that has just met: a gateway knew %.0f%% of the others, and"
                                    + " told on %.0f claims",
                            100 * knownShare,
                            queuedUpdates);
        }
    }

    private double hollowCpuMillis() throws IOException {
        double sum = 0;
        for (HollowProcess h : hollowProcesses) {
            sum += ProcessStats.of(h.pid()).cpuMillis();
        }
        return sum;
    }

    /**
     * Records what the join cost a gateway, from the first answer of the last process until all
     * members know all others.
     */
    private void recordJoin(
            JsonNode[] first, JsonNode[] current, double elapsedMillis, double cpuMillis) {
        String note = "until all know all, after the last process had answered";
        addMeasurement("hollow", "joined_ms", "ms", elapsedMillis, hollowCount, note);
        addMeasurement("hollow", "join_cpu_ms", "ms", cpuMillis / hollowCount, hollowCount, note);
        addMeasurement(
                "hollow",
                "join_bytes",
                "B",
                (sum(current, "inBytes")
                                + sum(current, "outBytes")
                                - sum(first, "inBytes")
                                - sum(first, "outBytes"))
                        / hollowCount,
                hollowCount,
                "in and out, " + note);
    }

    // --- load and changes ---

    private void connectLoad() throws IOException, InterruptedException {
        if (parameters.rate() <= 0) {
            return;
        }
        int connections =
                Math.max(
                        MIN_CONNECTIONS,
                        Math.min(
                                parameters.callers(),
                                script.fleet().maxDescriptors() - GATEWAY_OWN_DESCRIPTORS));
        relayLoad =
                new LoadGenerator(
                        loadLoop, range.address(RELAY_HOST, RELAY_PORT), parameters, script.seed());
        relayLoad.connect(connections);
        for (RealGateway r : realGateways) {
            if (getsLoad(r)) {
                r.loadGenerator =
                        new LoadGenerator(
                                loadLoop,
                                range.address(1 + r.number, GATEWAY_PORT),
                                parameters,
                                script.seed());
                r.loadGenerator.connect(connections);
            }
        }
        generateLoad(WARM_UP_MILLIS, new Histogram(60_000_000, 3));
        loadLoop.submit(() -> loadGenerators().forEach(LoadGenerator::startInterval)).await();
    }

    private List<LoadGenerator> loadGenerators() {
        return Stream.concat(Stream.of(relayLoad), realGateways.stream().map(r -> r.loadGenerator))
                .filter(l -> l != null)
                .toList();
    }

    /** Generates load for this time: plans requests and sends the same ones to all generators. */
    private void generateLoad(double durationMillis, Histogram lateness) {
        SplittableRandom random = new SplittableRandom(script.seed());
        List<LoadGenerator> loadGenerators = loadGenerators();
        long startedAt = System.nanoTime();
        double dueMillis = 0;
        while (!loadGenerators.isEmpty()) {
            dueMillis += -Math.log(1 - random.nextDouble()) / parameters.rate() * 1e3;
            if (dueMillis > durationMillis) {
                break;
            }
            long planned = startedAt + (long) (dueMillis * 1e6);
            for (long waitNanos = planned - System.nanoTime();
                    waitNanos > 0;
                    waitNanos = planned - System.nanoTime()) {
                LockSupport.parkNanos(waitNanos);
            }
            lateness.recordValue(Math.min(60_000_000, (System.nanoTime() - planned) / 1000));
            loadGenerators.forEach(load -> loadLoop.execute(() -> load.sendNext(planned)));
        }
    }

    private int changeCount() {
        return parameters.changesPerHour() <= 0
                ? 0
                : (int)
                        Math.max(
                                1,
                                Math.round(
                                        parameters.changesPerHour()
                                                * script.measuredMillis()
                                                / 3.6e6
                                                * script.fleet().changePace()));
    }

    /** The results of the changes: times by the program's suffix, and the number published. */
    private static final class ChangeResults {
        private final Map<String, List<Double>> inForceMillis = new TreeMap<>();

        /** Times of the signals to each real gateway, by its number. */
        private final Map<Integer, List<Double>> signalledAt = new TreeMap<>();

        private int publishedCount;
        private long fileBytes;

        /** Programs that did not apply a change within the timeout; they are not probed again. */
        private final Set<String> timedOutPrograms = ConcurrentHashMap.newKeySet();
    }

    /**
     * Cuts off the first zone for as long as the script says, then changes the settings at even
     * intervals over the remaining time.
     */
    private void applyChanges(ChangeResults results, boolean withChanges)
            throws IOException, InterruptedException {
        if (script.fleet().cutMillis() > 0
                && (!withChanges
                        || script.sweptParameter() == ScaleScript.SweptParameter.CHANGES)) {
            requestAll("cut 0");
            Thread.sleep((long) script.fleet().cutMillis());
            requestAll("cut -1");
        }
        double durationMillis = script.measuredMillis() - script.fleet().cutMillis();
        int n = withChanges ? changeCount() : 0;
        double startedAt = System.currentTimeMillis();
        for (int i = 1; i <= n; i++) {
            double due = startedAt + durationMillis * (i - 0.5) / n;
            while (System.currentTimeMillis() < due) {
                Thread.sleep(1);
            }
            if (System.currentTimeMillis()
                    > startedAt + durationMillis + LATE_CHANGE_TIMEOUT_MILLIS) {
                break;
            }
            results.publishedCount++;
            results.fileBytes = hollowSettings.publish(i);
            for (HollowProcess h : hollowProcesses) {
                h.send("change");
            }
            for (RealGateway r : realGateways) {
                r.settings.publish(i);
                double signalledAt = System.currentTimeMillis();
                r.process.signal("HUP");
                results.signalledAt
                        .computeIfAbsent(r.number, k -> new ArrayList<>())
                        .add(signalledAt);
                if (r.loadGenerator != null && !results.timedOutPrograms.contains(r.metricSuffix)) {
                    probeUntilInForce(r, SettingsFile.changedRouteName(i), signalledAt, results);
                }
            }
            for (HollowProcess h : hollowProcesses) {
                h.receive();
            }
        }
    }

    /** Requests the changed route repeatedly until it is served or the timeout has passed. */
    private void probeUntilInForce(
            RealGateway r, String route, double signalledAt, ChangeResults results) {
        r.loadGenerator.probe(
                route,
                status -> {
                    double elapsedMillis = System.currentTimeMillis() - signalledAt;
                    if (status == 200) {
                        synchronized (results) {
                            results.inForceMillis
                                    .computeIfAbsent(r.metricSuffix, s -> new ArrayList<>())
                                    .add(elapsedMillis);
                        }
                    } else if (elapsedMillis < IN_FORCE_TIMEOUT_MILLIS) {
                        loadLoop.schedule(
                                () -> probeUntilInForce(r, route, signalledAt, results),
                                PROBE_PERIOD_MILLIS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        results.timedOutPrograms.add(r.metricSuffix);
                    }
                });
    }

    // --- what is measured ---

    private Sample takeSample() throws IOException, InterruptedException {
        Map<Long, ProcessStats> processStats = new TreeMap<>();
        JsonNode[] hollowStats = requestAll("figures");
        for (RealGateway r : realGateways) {
            processStats.put(r.process.pid(), ProcessStats.of(r.process.pid()));
        }
        for (HollowProcess h : hollowProcesses) {
            processStats.put(h.pid(), ProcessStats.of(h.pid()));
        }
        long[][] registryTraffic = new long[1][];
        Map<Integer, long[]> reportsByGateway = new TreeMap<>();
        long[] cpu = new long[1];
        registryLoop
                .submit(
                        () -> {
                            registryTraffic[0] = registry.traffic(null);
                            realGateways.forEach(
                                    r ->
                                            reportsByGateway.put(
                                                    r.number,
                                                    registry.traffic(RealGateway.name(r.number))));
                            cpu[0] =
                                    ManagementFactory.getThreadMXBean()
                                            .getThreadCpuTime(Thread.currentThread().getId());
                        })
                .await();
        return new Sample(
                System.nanoTime() / 1e6,
                processStats,
                hollowStats,
                registryTraffic[0],
                reportsByGateway,
                cpu[0] / 1e6,
                machineTicks());
    }

    /** Idle time and total time of all cores so far, in ticks. */
    private static long[] machineTicks() throws IOException {
        String[] fields =
                Files.readAllLines(Path.of("/proc/stat"), StandardCharsets.US_ASCII)
                        .get(0)
                        .split("\\s+");
        return new long[] {
            Long.parseLong(fields[4]), Stream.of(fields).skip(1).mapToLong(Long::parseLong).sum()
        };
    }

    /**
     * Measures load, traffic and processes. Unless the number of changes is what grows, the changes
     * get an interval of their own after that, so that the measured costs of a gateway at rest
     * contain none of them.
     */
    private void measure() throws IOException, InterruptedException {
        for (RealGateway r : realGateways) {
            r.skipToEnd();
        }
        boolean sweepsChanges = script.sweptParameter() == ScaleScript.SweptParameter.CHANGES;
        ChangeResults results = new ChangeResults();
        Histogram lateness = new Histogram(60_000_000, 3);
        Sample before = takeSample();
        Sample after = runInterval(results, sweepsChanges, lateness);
        double idleShare =
                (double) (after.machineTicks[0] - before.machineTicks[0])
                        / Math.max(1, after.machineTicks[1] - before.machineTicks[1]);
        if (idleShare < MIN_IDLE_SHARE) {
            conditionNote +=
                    (conditionNote.isEmpty() ? "" : "; ")
                            + String.format(
                                    Locale.ROOT,
                                    "the machine was full: %.0f%% of its cores left",
                                    100 * idleShare);
        }
        double reported =
                after.registryTraffic[0]
                        - before.registryTraffic[0]
                        - after.reportsByGateway.keySet().stream()
                                .mapToDouble(
                                        k ->
                                                after.reportsByGateway.get(k)[0]
                                                        - before.reportsByGateway.get(k)[0])
                                .sum();
        reportShare =
                hollowCount == 0
                        ? 1
                        : reported
                                / hollowCount
                                / ((after.atMillis - before.atMillis) / 1e3)
                                / REPORTS_PER_SECOND;
        recordProcesses(before, after);
        recordTraffic(before, after);
        recordLatencies(lateness);
        if (!sweepsChanges && changeCount() > 0) {
            recordChangeCost(
                    before,
                    after,
                    runInterval(results, true, new Histogram(60_000_000, 3)),
                    results);
        }
        recordChanges(results);
    }

    /**
     * Runs one measured interval with load, and with changes if {@code withChanges}; returns the
     * sample at its end.
     */
    private Sample runInterval(ChangeResults results, boolean withChanges, Histogram lateness)
            throws IOException, InterruptedException {
        IOException[] failed = new IOException[1];
        Thread changer =
                new Thread(
                        () -> {
                            try {
                                applyChanges(results, withChanges);
                            } catch (IOException e) {
                                failed[0] = e;
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "changes");
        double end = System.nanoTime() / 1e6 + script.measuredMillis();
        changer.start();
        generateLoad(script.measuredMillis(), lateness);
        while (System.nanoTime() / 1e6 < end) {
            Thread.sleep(1);
        }
        changer.join();
        if (failed[0] != null) {
            throw failed[0];
        }
        return takeSample();
    }

    /** Records what a change costs a real gateway without load, beyond its costs at rest. */
    private void recordChangeCost(Sample before, Sample rest, Sample after, ChangeResults results)
            throws IOException, InterruptedException {
        forEachProgram(
                (suffix, gateways) -> {
                    List<Long> pid = List.of(gateways.get(0).process.pid());
                    double atRest =
                            cpuMillis(before, rest, pid)
                                    / (rest.atMillis - before.atMillis)
                                    * (after.atMillis - rest.atMillis);
                    addMeasurement(
                            "real",
                            "change_cpu_ms" + suffix,
                            "ms",
                            (cpuMillis(rest, after, pid) - atRest)
                                    / Math.max(1, results.publishedCount),
                            results.publishedCount,
                            "processor time for each change of one entry, beyond that at rest; in"
                                    + " steps of 10 ms for all of them");
                });
    }

    private void recordProcesses(Sample before, Sample after)
            throws IOException, InterruptedException {
        double elapsedMillis = after.atMillis - before.atMillis;
        forEachProgram(
                (suffix, gateways) -> {
                    for (boolean withLoad : new boolean[] {false, true}) {
                        List<RealGateway> selected =
                                gateways.stream().filter(r -> getsLoad(r) == withLoad).toList();
                        String ending = (withLoad ? "_loaded" : "") + suffix;
                        if (!selected.isEmpty()) {
                            List<Long> pids = selected.stream().map(r -> r.process.pid()).toList();
                            addMeasurement(
                                    "real",
                                    "cpu_part" + ending + conditionSuffix,
                                    "part of a core",
                                    cpuMillis(before, after, pids) / elapsedMillis / pids.size(),
                                    pids.size(),
                                    "");
                            addMeasurement(
                                    "real",
                                    "loop_part" + ending + conditionSuffix,
                                    "part of a core",
                                    loopCpuMillis(before, after, pids)
                                            / elapsedMillis
                                            / pids.size(),
                                    pids.size(),
                                    "");
                            addMeasurement(
                                    "real",
                                    "resident_mb" + ending,
                                    "MB",
                                    residentMb(after, pids) / pids.size(),
                                    pids.size(),
                                    "");
                            addMeasurement(
                                    "real",
                                    "descriptors" + ending,
                                    "",
                                    pids.stream()
                                            .mapToInt(p -> after.processStats.get(p).descriptors())
                                            .average()
                                            .orElse(0),
                                    pids.size(),
                                    "");
                        }
                    }
                });
        List<Long> pids = hollowProcesses.stream().map(HollowProcess::pid).toList();
        if (hollowCount > 0) {
            addHollow(
                    "cpu_part",
                    "part of a core",
                    cpuMillis(before, after, pids) / elapsedMillis / hollowCount,
                    "");
            addHollow(
                    "loop_part",
                    "part of a core",
                    loopCpuMillis(before, after, pids) / elapsedMillis / hollowCount,
                    "");
            addMeasurement(
                    "hollow",
                    "resident_mb",
                    "MB",
                    residentMb(after, pids) / hollowCount,
                    hollowCount,
                    "its part of a process that "
                            + hollowProcesses.get(0).gatewayCount()
                            + " share");
            addMeasurement(
                    "hollow",
                    "descriptors",
                    "",
                    pids.stream().mapToInt(p -> after.processStats.get(p).descriptors()).sum()
                            / (double) hollowCount,
                    hollowCount,
                    "");
            addHollow(
                    "stall_ms",
                    "ms",
                    Stream.of(after.hollowStats)
                            .mapToDouble(n -> n.path("stallMs").asDouble())
                            .max()
                            .orElse(0),
                    "an event loop that "
                            + hollowProcesses.get(0).gatewayCount() / LOOPS_PER_PROCESS
                            + " share");
        }
        addMeasurement(
                "roster",
                "cpu_part",
                "part of a core",
                (after.registryCpuMillis - before.registryCpuMillis) / elapsedMillis,
                parameters.gateways(),
                "reports only, on one thread");
        addMeasurement(
                "roster",
                "datagrams_in_s",
                "1/s",
                (after.registryTraffic[0] - before.registryTraffic[0]) / elapsedMillis * 1e3,
                parameters.gateways(),
                "");
        addMeasurement(
                "roster",
                "bytes_in_s",
                "B/s",
                (after.registryTraffic[1] - before.registryTraffic[1]) / elapsedMillis * 1e3,
                parameters.gateways(),
                "");
    }

    private static double cpuMillis(Sample before, Sample after, List<Long> pids) {
        return pids.stream()
                .mapToDouble(
                        p ->
                                after.processStats.get(p).cpuMillis()
                                        - before.processStats.get(p).cpuMillis())
                .sum();
    }

    private static double loopCpuMillis(Sample before, Sample after, List<Long> pids) {
        return pids.stream()
                .mapToDouble(
                        p ->
                                after.processStats.get(p).loopCpuMillis()
                                        - before.processStats.get(p).loopCpuMillis())
                .sum();
    }

    private static double residentMb(Sample sample, List<Long> pids) {
        return pids.stream().mapToDouble(p -> sample.processStats.get(p).residentMb()).sum();
    }

    /**
     * Records datagrams and bytes. Hollow gateways count their own and those that they exchange
     * with the real ones.
     */
    private void recordTraffic(Sample before, Sample after) {
        if (hollowCount == 0) {
            return;
        }
        double seconds = (after.atMillis - before.atMillis) / 1e3;
        double[] reportRates = new double[2];
        for (int i = 0; i < 2; i++) {
            int index = i;
            double realReports =
                    after.reportsByGateway.keySet().stream()
                            .mapToDouble(
                                    r ->
                                            after.reportsByGateway.get(r)[index]
                                                    - before.reportsByGateway.get(r)[index])
                            .sum();
            reportRates[i] =
                    (after.registryTraffic[i] - before.registryTraffic[i] - realReports)
                            / seconds
                            / hollowCount;
        }
        String[] counters = {"in", "inBytes", "out", "outBytes"};
        String[] metrics = {"datagrams_in_s", "bytes_in_s", "datagrams_out_s", "bytes_out_s"};
        for (int i = 0; i < counters.length; i++) {
            double perGateway =
                    (sum(after.hollowStats, counters[i]) - sum(before.hollowStats, counters[i]))
                                    / seconds
                                    / hollowCount
                            + (i < 2 ? 0 : reportRates[i - 2]);
            addHollow(metrics[i], i % 2 == 0 ? "1/s" : "B/s", perGateway, "");
        }
        double datagrams =
                sum(after.hollowStats, "in")
                        + sum(after.hollowStats, "out")
                        - sum(before.hollowStats, "in")
                        - sum(before.hollowStats, "out");
        double cpuMillis =
                cpuMillis(before, after, hollowProcesses.stream().map(HollowProcess::pid).toList());
        addMeasurement(
                "hollow",
                "cpu_us_datagram" + conditionSuffix,
                "us",
                cpuMillis * 1e3 / datagrams,
                hollowCount,
                "processor time for each datagram of the fleet, in or out");
        addHollow(
                "walked_tick",
                "entries",
                (sum(after.hollowStats, "walked") - sum(before.hollowStats, "walked"))
                        / hollowCount
                        / seconds
                        * MEMBERSHIP_TICK_MILLIS
                        / 1e3,
                "entries of the membership that are walked in a tick of 20 ms");
        String[] fields = {"to", "toBytes", "from", "fromBytes"};
        List<RealGateway> selected =
                realGateways.stream().filter(r -> r.metricSuffix.isEmpty()).toList();
        for (int i = 0; i < fields.length; i++) {
            double perGateway = 0;
            for (RealGateway r : selected) {
                double reported =
                        i < 2
                                ? 0
                                : (after.reportsByGateway.get(r.number)[i - 2]
                                                - before.reportsByGateway.get(r.number)[i - 2])
                                        / seconds;
                perGateway +=
                        (realTraffic(after, r, fields[i]) - realTraffic(before, r, fields[i]))
                                        / seconds
                                        / selected.size()
                                + reported / selected.size();
            }
            addMeasurement(
                    "real",
                    metrics[i] + conditionSuffix,
                    i % 2 == 0 ? "1/s" : "B/s",
                    perGateway,
                    selected.size(),
                    "as counted by the hollow ones and the roster");
        }
    }

    private static double realTraffic(Sample sample, RealGateway r, String field) {
        return Stream.of(sample.hollowStats)
                .mapToDouble(n -> n.path("real").path(r.number).path(field).asDouble())
                .sum();
    }

    private void recordLatencies(Histogram lateness) throws IOException, InterruptedException {
        if (relayLoad == null) {
            return;
        }
        LoadGenerator.Result[] baseline = new LoadGenerator.Result[1];
        Map<Integer, LoadGenerator.Result> resultByGateway = new TreeMap<>();
        loadLoop.submit(
                        () -> {
                            baseline[0] = relayLoad.result();
                            realGateways.stream()
                                    .filter(r -> r.loadGenerator != null)
                                    .forEach(
                                            r ->
                                                    resultByGateway.put(
                                                            r.number, r.loadGenerator.result()));
                        })
                .await();
        double latenessMillis =
                lateness.getTotalCount() == 0 ? 0 : lateness.getValueAtPercentile(99) / 1000.0;
        addMeasurement(
                "relay",
                "p50_ms",
                "ms",
                baseline[0].millisAt(50),
                baseline[0].latencies().getTotalCount(),
                String.format(
                        Locale.ROOT, "the load itself was late by %.2f ms (p99)", latenessMillis));
        addMeasurement(
                "relay",
                "p99_ms",
                "ms",
                baseline[0].millisAt(99),
                baseline[0].latencies().getTotalCount(),
                "");
        forEachProgram(
                (suffix, gateways) -> {
                    List<LoadGenerator.Result> selected =
                            gateways.stream()
                                    .filter(r -> r.loadGenerator != null)
                                    .map(r -> resultByGateway.get(r.number))
                                    .toList();
                    if (selected.isEmpty()) {
                        return;
                    }
                    Histogram merged = new Histogram(60_000_000, 3);
                    selected.forEach(t -> merged.add(t.latencies()));
                    long unserved =
                            selected.stream().mapToLong(LoadGenerator.Result::unserved).sum();
                    long requests =
                            selected.stream().mapToLong(LoadGenerator.Result::requests).sum();
                    String note =
                            unserved == 0
                                    ? ""
                                    : unserved + " of " + requests + " requests were not served";
                    double maxMillis = merged.getMaxValue() / 1000.0;
                    addMeasurement(
                            "real",
                            "added_p50_ms" + suffix,
                            "ms",
                            merged.getValueAtPercentile(50) / 1000.0 - baseline[0].millisAt(50),
                            merged.getTotalCount(),
                            note);
                    addMeasurement(
                            "real",
                            "added_p99_ms" + suffix,
                            "ms",
                            merged.getValueAtPercentile(99) / 1000.0 - baseline[0].millisAt(99),
                            merged.getTotalCount(),
                            note);
                    addMeasurement(
                            "real",
                            "stall_ms" + suffix,
                            "ms",
                            maxMillis,
                            merged.getTotalCount(),
                            "the longest request: its event loop stood still no longer");
                });
    }

    private void recordChanges(ChangeResults results) throws IOException, InterruptedException {
        if (changeCount() == 0) {
            return;
        }
        long deadline = System.currentTimeMillis() + (long) IN_FORCE_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < deadline
                && inForceCount(results)
                        < results.publishedCount
                                * realGateways.stream()
                                        .filter(
                                                r ->
                                                        r.loadGenerator != null
                                                                && !results.timedOutPrograms
                                                                        .contains(r.metricSuffix))
                                        .count()) {
            Thread.sleep(POLL_MILLIS);
        }
        String pace =
                results.publishedCount
                        + " of "
                        + changeCount()
                        + " changes, an hour's at "
                        + ScaleReader.formatNumber(script.fleet().changePace())
                        + " times the pace";
        forEachProgram(
                (suffix, gateways) -> {
                    List<Double> latencies;
                    synchronized (results) {
                        latencies =
                                new ArrayList<>(
                                        results.inForceMillis.getOrDefault(suffix, List.of()));
                    }
                    int expected =
                            results.publishedCount
                                    * (int)
                                            gateways.stream()
                                                    .filter(r -> r.loadGenerator != null)
                                                    .count();
                    String note =
                            latencies.isEmpty()
                                    ? "not in force after "
                                            + ScaleReader.formatNumber(IN_FORCE_TIMEOUT_MILLIS)
                                            + " ms: it waits for the next start; "
                                            + pace
                                    : latencies.size() < expected
                                            ? latencies.size()
                                                    + " of "
                                                    + expected
                                                    + " came in force; "
                                                    + pace
                                            : pace;
                    addQuantiles("real", "in_force", suffix, latencies, note);
                    List<Double> reloadTimes = new ArrayList<>();
                    for (RealGateway r : gateways) {
                        reloadTimes.addAll(
                                reloadMillis(
                                        r, results.signalledAt.getOrDefault(r.number, List.of())));
                    }
                    addQuantiles(
                            "real",
                            "reread",
                            suffix,
                            reloadTimes,
                            "until the log has 'configuration read again'; of the settings,"
                                    + " addresses only may count; "
                                    + pace);
                });
        JsonNode[] current = requestAll("figures");
        double latest = System.currentTimeMillis() + LATE_CHANGE_TIMEOUT_MILLIS;
        while (Stream.of(current).mapToInt(n -> n.path("inForceMs").size()).sum()
                        < results.publishedCount * hollowCount
                && System.currentTimeMillis() < latest) {
            Thread.sleep(POLL_MILLIS);
            current = requestAll("figures");
        }
        List<Double> hollowTimes = new ArrayList<>();
        Stream.of(current)
                .forEach(n -> n.path("inForceMs").forEach(v -> hollowTimes.add(v.asDouble())));
        addQuantiles(
                "hollow",
                "reread",
                "",
                hollowTimes,
                "settings read and addresses applied, one gateway of a process after the other; "
                        + pace);
        addMeasurement(
                "hollow",
                "change_bytes",
                "B",
                results.fileBytes,
                results.publishedCount,
                "read for a change of one entry: the file whole");
    }

    /**
     * How long a real gateway took to reload after each signal, from its log; empty where several
     * signals led to one reload.
     */
    private static List<Double> reloadMillis(RealGateway r, List<Double> signalledAt)
            throws IOException, InterruptedException {
        List<Double> reloadedAt = new ArrayList<>();
        double deadline = System.currentTimeMillis() + IN_FORCE_TIMEOUT_MILLIS;
        while (reloadedAt.size() < signalledAt.size() && System.currentTimeMillis() < deadline) {
            double next = r.nextMatchMillis(RealGateway.CONFIG_RELOADED_LINE);
            if (Double.isNaN(next)) {
                Thread.sleep(POLL_MILLIS);
            } else {
                reloadedAt.add(next);
            }
        }
        return reloadedAt.size() < signalledAt.size()
                ? List.of()
                : IntStream.range(0, reloadedAt.size())
                        .mapToObj(i -> reloadedAt.get(i) - signalledAt.get(i))
                        .toList();
    }

    private static int inForceCount(ChangeResults results) {
        synchronized (results) {
            return results.inForceMillis.values().stream().mapToInt(List::size).sum();
        }
    }

    private void addQuantiles(
            String role, String name, String suffix, List<Double> latencies, String note) {
        Collections.sort(latencies);
        double[] quantiles = {0.5, 0.99, 1};
        String[] labels = {"median", "p99", "worst"};
        for (int i = 0; i < quantiles.length; i++) {
            double value =
                    latencies.isEmpty()
                            ? Double.NaN
                            : latencies.get((int) Math.ceil(quantiles[i] * latencies.size()) - 1);
            addMeasurement(
                    role,
                    name + "_" + labels[i] + "_ms" + suffix,
                    "ms",
                    value,
                    latencies.size(),
                    note);
        }
    }

    // --- the end ---

    /** Silences one hollow gateway and measures the time until all others consider it dead. */
    private void measureDeathDetection() throws IOException, InterruptedException {
        if (hollowCount < 2 || script.deathTimeoutMillis() <= 0) {
            return;
        }
        int number = topology.real().size() + hollowCount - 1;
        String name = HollowGateway.name(number);
        Pattern dead = Pattern.compile(name + " is dead");
        for (RealGateway r : realGateways) {
            r.skipToEnd();
        }
        double startedAt = System.currentTimeMillis();
        requestAll("die " + number);
        JsonNode[] current = requestAll("death " + name);
        double[] knownAt = new double[realGateways.size()];
        Arrays.fill(knownAt, Double.NaN);
        List<Double> delays = new ArrayList<>();
        while (true) {
            delays.clear();
            Stream.of(current)
                    .forEach(
                            n ->
                                    n.path("heardOfDeathAt")
                                            .forEach(v -> delays.add(v.asDouble() - startedAt)));
            for (RealGateway r : realGateways) {
                knownAt[r.number] =
                        Double.isNaN(knownAt[r.number])
                                ? r.nextMatchMillis(dead)
                                : knownAt[r.number];
                if (!Double.isNaN(knownAt[r.number])) {
                    delays.add(knownAt[r.number] - startedAt);
                }
            }
            if (delays.size() == parameters.gateways() - 1
                    || System.currentTimeMillis() - startedAt > script.deathTimeoutMillis()) {
                break;
            }
            Thread.sleep(MEMBERSHIP_POLL_MILLIS);
            current = requestAll("figures");
        }
        Collections.sort(delays);
        boolean allKnow = delays.size() == parameters.gateways() - 1;
        addMeasurement(
                "hollow",
                "death_known_ms",
                "ms",
                allKnow ? delays.get(delays.size() - 1) : Double.NaN,
                delays.size(),
                allKnow
                        ? "until the last one knew"
                        : delays.size()
                                + " of "
                                + (parameters.gateways() - 1)
                                + " knew after "
                                + ScaleReader.formatNumber(script.deathTimeoutMillis())
                                + " ms");
        addMeasurement(
                "hollow",
                "death_known_median_ms",
                "ms",
                delays.size() < parameters.gateways() / 2
                        ? Double.NaN
                        : delays.get(parameters.gateways() / 2 - 1),
                delays.size(),
                "until half of them knew");
    }

    private void measureHeap() throws IOException, InterruptedException {
        if (hollowCount > 0) {
            addMeasurement(
                    "hollow",
                    "heap_mb",
                    "MB",
                    sum(requestAll("memory"), "heapMb") / hollowCount,
                    hollowCount,
                    "");
        }
        forEachProgram(
                (suffix, gateways) -> {
                    double heap = 0;
                    for (RealGateway r : gateways) {
                        heap += ProcessStats.heapAfterGcMb(r.process.pid());
                    }
                    addMeasurement(
                            "real",
                            "heap_mb" + suffix,
                            "MB",
                            heap / gateways.size(),
                            gateways.size(),
                            "");
                });
    }

    /** Adds a metric of the hollow gateways that depends on the activity of the fleet. */
    private void addHollow(String metric, String unit, double value, String note) {
        addMeasurement("hollow", metric + conditionSuffix, unit, value, hollowCount, note);
    }

    /**
     * Adds a measurement. Where the machine was too slow for the fleet, no metric of any role gets
     * a value; the value observed is in its note.
     */
    private void addMeasurement(
            String role, String metric, String unit, double value, long n, String ownNote) {
        boolean fleetKeptUp = reportShare >= MIN_REPORT_SHARE;
        String valueNote =
                fleetKeptUp
                        ? ownNote
                        : String.format(
                                Locale.ROOT,
                                "not carried: the hollow gateways kept %.0f%% of their pace, and"
                                        + " this came to %.4g",
                                100 * reportShare,
                                value);
        String fullNote =
                valueNote.isEmpty() || conditionNote.isEmpty()
                        ? valueNote + conditionNote
                        : valueNote + "; " + conditionNote;
        measurements.add(
                new Measurement(
                        runId,
                        script.sweptParameter().name().toLowerCase(Locale.ROOT),
                        size,
                        role,
                        metric,
                        unit,
                        fleetKeptUp ? value : Double.NaN,
                        n,
                        fullNote));
    }

    /** Ends all processes, event loops and address ranges that this size has started. */
    @Override
    public void close() throws IOException {
        realGateways.forEach(r -> r.process.kill());
        hollowProcesses.forEach(HollowProcess::close);
        eventLoopGroups.forEach(g -> g.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
        if (range != null) {
            range.close();
        }
    }
}
