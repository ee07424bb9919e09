package tinroad.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import tinroad.lab.fake.EventQueue;
import tinroad.lab.fake.FakeClientProxy;
import tinroad.lab.fake.FakeEngine;
import tinroad.lab.fake.FakeRegistry;
import tinroad.lab.fake.LabContext;
import tinroad.lab.fake.LabContext.Mutant;
import tinroad.lab.relay.DatagramRelay;
import tinroad.lab.relay.LinkFaults;
import tinroad.lab.relay.StreamRelay;
import tinroad.lab.schedule.Draw;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.Link;
import tinroad.lab.script.Script.RequestClass;
import tinroad.lab.script.Script.StateRetention;
import tinroad.lab.verification.RecoveryBound;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.RunHistory.ExcusedInterval;
import tinroad.lab.verification.RunHistory.GatewayIncarnation;
import tinroad.lab.verification.RunMetrics;
import tinroad.lab.verification.Try;

/**
 * Plays one plan. The stand-ins live on one event loop, the relays on others; what blocks
 * (processes, files) is done by threads beside them.
 */
public final class Lab implements AutoCloseable {
    /**
     * A load that ran later than this, in ms, in more than one of 100 requests does not count: a
     * bin of arrivals.
     */
    public static final double LATE = RunMetrics.BIN;

    private static final int RELAY_THREADS = 3;
    private static final double TICK_MS = 1;

    /** A tick so late, in ms, is a stall of the lab, which counts against no gateway. */
    private static final double STALL = 50;

    /** From the start of a process to that of its engine, in ms. */
    private static final double START_PATIENCE = 60_000;

    private static final double END_PATIENCE = 10_000;
    private static final double LOOK_MS = 250;
    private static final long DOORS_MS = 10;
    private static final int GATEWAY_PORT = 8081;
    private static final int CALLERS_PORT = 8080;
    private static final int ENGINE_PORT = 4400;
    private static final int ENGINE_RELAY_PORT = 4401;
    private static final int ROSTER_PORT = 8761;
    private static final int MOVED_RELAY_PORT = 4402;
    private static final int FIRST_PROXY = 100;
    private static final int FIRST_CHECKS = 150;
    private static final int ROSTER_HOST = 250;
    private static final int MOST_GATEWAYS = 60;
    private static final int MOST_PROXIES = 40;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * How to play.
     *
     * @param jar the program of the gateways: a jar, or a class path
     * @param folder where the gateways' folders are made
     * @param operator an operator file that each gateway gets a copy of, in its folder; null for
     *     none. {@code @HOST@}, {@code @ZONE@}, {@code @FIRST@}, {@code @SECOND@} and
     *     {@code @KEYS@} stand for its address and zone, the addresses of the first two, and a key
     *     file
     * @param progress gets a line a second; null for none
     */
    public record Options(
            String jar, Path folder, Path operator, PrintStream progress, Mutant mutant) {}

    /**
     * What came of it.
     *
     * @param late 99th percentile of how late requests were sent, in ms
     * @param cpuLeft share of all cores that was idle
     */
    public record RunOutcome(RunHistory ledger, double late, double cpuLeft) {
        /** Whether the load came in time; else it does not count. */
        public boolean counts() {
            return late <= LATE;
        }
    }

    /** One gateway: its processes, its links, its folder. */
    private final class Member {
        private final int number;
        private final Path folder;
        private final Path older;
        private final Map<Link, List<LinkFaults>> links = new EnumMap<>(Link.class);
        private FakeEngine engine;
        private StreamRelay callersRelay;
        private StreamRelay engineRelay;
        private volatile GatewayProcess process;
        private GatewayIncarnation life;
        private int enginePort = ENGINE_RELAY_PORT;

        /** Its process ends, or has ended, and the next one is to come: it can't end twice. */
        private boolean away;

        /**
         * Nobody listens behind the door: it refuses, as an address does that nobody listens at.
         */
        private volatile boolean shut;

        Member(int number) {
            this.number = number;
            folder = options.folder.resolve("g" + number);
            older = options.folder.resolve("g" + number + ".older");
            int zones = script.fleet().zones();
            links.put(
                    Link.CALLERS,
                    IntStream.range(0, zones).mapToObj(z -> new LinkFaults()).toList());
            links.put(
                    Link.CHECKS,
                    IntStream.range(0, zones).mapToObj(z -> new LinkFaults()).toList());
            links.put(Link.ENGINE, List.of(new LinkFaults()));
            links.put(Link.ROSTER, List.of(new LinkFaults()));
        }
    }

    private final Options options;
    private final Schedule plan;
    private final Script script;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup relays =
            new MultiThreadIoEventLoopGroup(RELAY_THREADS, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService keepers =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "keeper");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final List<Member> members = new ArrayList<>();
    private final List<FakeClientProxy> proxies = new ArrayList<>();
    private final EventQueue agenda = new EventQueue();
    private final RunHistory ledger;
    private final org.HdrHistogram.Histogram lateness =
            new org.HdrHistogram.Histogram(60_000_000, 3);
    private LabContext world;
    private FakeRegistry roster;
    private LoopbackRange range;
    private long zeroNanos = System.nanoTime();
    private double lastTick = Double.NaN;
    private volatile boolean over;

    /** A lab for this plan. */
    public Lab(Schedule plan, Options options) {
        this.plan = plan;
        this.options = options;
        script = plan.script();
        if (script.fleet().gateways() > MOST_GATEWAYS
                || script.callers().proxies() > MOST_PROXIES) {
            throw new IllegalArgumentException(
                    "the lab has addresses for "
                            + MOST_GATEWAYS
                            + " gateways and "
                            + MOST_PROXIES
                            + " proxies; larger fleets are for 'lab model'");
        }
        ledger = new RunHistory(plan);
    }

    private double now() {
        return (System.nanoTime() - zeroNanos) / 1e6;
    }

    /** Plays the plan; blocks until it is over. */
    public RunOutcome play() throws IOException, InterruptedException {
        range = LoopbackRange.take(CALLERS_PORT);
        zeroNanos = System.nanoTime();
        Files.createDirectories(options.folder);
        writeKeys();
        onLoop(this::build);
        for (Member m : members) {
            // Guards against the logs of an earlier run in this folder: they tell of another's good
            // health.
            delete(m.folder);
            begin(m, false, options.jar);
        }
        awaitListed();
        double beginning = now() + 200;
        onLoop(() -> rebase(beginning));
        long[] cpuBefore = cpu();
        keepers.execute(this::sample);
        keepers.execute(this::doors);
        double end = script.length() + mostPatience() + 500;
        while (now() < script.length() || (now() < end && waiting() > 0)) {
            Thread.sleep(100);
            if (options.progress != null
                    && Math.floor(now() / 1000) != Math.floor((now() - 100) / 1000)) {
                progress();
            }
        }
        long[] cpuAfter = cpu();
        Thread.sleep((long) (tinroad.lab.verification.HistoryChecker.SLACK + 100));
        leaveAll();
        over = true;
        onLoop(() -> members.forEach(m -> m.engine.end()));
        readLogs();
        return new RunOutcome(
                ledger,
                lateness.getValueAtPercentile(99) / 1000.0,
                (double) (cpuAfter[0] - cpuBefore[0]) / Math.max(1, cpuAfter[1] - cpuBefore[1]));
    }

    private double mostPatience() {
        return script.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0)
                * Math.max(1, script.callers().totalTimeoutFactor());
    }

    private int waiting() throws InterruptedException {
        int[] n = new int[1];
        onLoop(() -> n[0] = proxies.stream().mapToInt(p -> p.proxy().waiting()).sum());
        return n[0];
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void onLoop(Step step) throws InterruptedException {
        var done =
                loop.submit(
                                () -> {
                                    step.run();
                                    return null;
                                })
                        .await();
        if (!done.isSuccess()) {
            throw new IllegalStateException(done.cause());
        }
    }

    // --- addresses ---

    private InetSocketAddress address(int host, int port) {
        return range.address(host, port);
    }

    private static int host(int gateway) {
        return gateway + 1;
    }

    // --- the build ---

    private void build() throws IOException {
        world = new LabContext(loop, ledger, agenda, options.mutant, this::now);
        for (int g = 0; g < script.fleet().gateways(); g++) {
            Member m = new Member(g);
            members.add(m);
            m.engine =
                    new FakeEngine(
                            world,
                            g,
                            script.fleet().speeds().get(g % script.fleet().speeds().size()));
        }
        List<InetSocketAddress> doors =
                members.stream().map(m -> address(host(m.number), CALLERS_PORT)).toList();
        for (int p = 0; p < script.callers().proxies(); p++) {
            proxies.add(
                    new FakeClientProxy(
                            world,
                            p,
                            address(FIRST_PROXY + p, 0),
                            address(FIRST_CHECKS + p, 0),
                            doors));
        }
        roster = new FakeRegistry(world, proxies.stream().map(FakeClientProxy::proxy).toList());
    }

    private void open() throws InterruptedException {
        roster.listen(address(ROSTER_HOST, ROSTER_PORT));
        for (Member m : members) {
            int host = host(m.number);
            m.engine.listen(address(host, ENGINE_PORT));
            m.callersRelay =
                    new StreamRelay(
                                    relays,
                                    address(host, CALLERS_PORT),
                                    address(host, GATEWAY_PORT),
                                    from -> {
                                        int proxy = from.getAddress().getAddress()[3] & 0xff;
                                        boolean checks = proxy >= FIRST_CHECKS;
                                        return m.links
                                                .get(checks ? Link.CHECKS : Link.CALLERS)
                                                .get(
                                                        plan.zone(
                                                                proxy
                                                                        - (checks
                                                                                ? FIRST_CHECKS
                                                                                : FIRST_PROXY)));
                                    },
                                    options.mutant == Mutant.RELAY_CHANGES_A_BYTE && m.number == 0,
                                    () -> shut(m),
                                    from -> world.closed(from))
                            .listen();
            m.engineRelay = engineRelay(m, ENGINE_RELAY_PORT);
            DatagramRelay.open(
                    relays,
                    address(host, ROSTER_PORT),
                    address(ROSTER_HOST, ROSTER_PORT),
                    m.links.get(Link.ROSTER).get(0),
                    plan.seed() + m.number);
        }
    }

    private StreamRelay engineRelay(Member m, int port) throws InterruptedException {
        return new StreamRelay(
                        relays,
                        address(host(m.number), port),
                        address(host(m.number), ENGINE_PORT),
                        from -> m.links.get(Link.ENGINE).get(0),
                        false,
                        () -> {},
                        from -> {})
                .listen();
    }

    private void awaitListed() throws IOException, InterruptedException {
        open();
        onLoop(() -> agenda.at(now(), roster::begin));
        loop.scheduleAtFixedRate(this::tick, 0, (long) (TICK_MS * 1e6), TimeUnit.NANOSECONDS);
        double until = now() + START_PATIENCE;
        while (true) {
            for (Member m : members) {
                if (m.process != null && m.life.exit >= 0) {
                    throw new IOException("gateway " + m.number + " did not start: " + lastLine(m));
                }
            }
            int up = 0;
            for (Member m : members) {
                up += log(m).contains("health good") ? 1 : 0;
            }
            if (up == members.size()) {
                return;
            }
            if (now() > until) {
                throw new IOException(
                        "only " + up + " of " + members.size() + " gateways came up in time");
            }
            Thread.sleep(50);
        }
    }

    private static String log(Member m) throws IOException {
        Path file = m.folder.resolve("log");
        return Files.exists(file) ? Files.readString(file) : "";
    }

    private static String lastLine(Member m) throws IOException {
        return log(m).lines().reduce("", (a, b) -> b);
    }

    /** Time 0 is the beginning of the load from now on: what was noted so far is noted anew. */
    private void rebase(double beginning) {
        zeroNanos += (long) (beginning * 1e6);
        agenda.clear();
        ledger.events.clear();
        ledger.stalls.clear();
        lastTick = now();
        world.begins(System.currentTimeMillis() - now());
        members.forEach(m -> m.engine.rebased(beginning));
        roster.allUp();
        agenda.at(now(), roster::begin);
        proxies.forEach(p -> agenda.at(now(), p::begin));
        for (PlannedRequest asked : plan.requests()) {
            agenda.at(
                    asked.at(),
                    () -> {
                        // What comes before the first moment that counts warms the lab up, too.
                        if (asked.at() >= script.settle()) {
                            lateness.recordValue(
                                    Math.min(
                                            60_000_000,
                                            Math.max(0, (long) (1000 * (now() - asked.at())))));
                        }
                        proxies.get(asked.proxy()).proxy().submit(asked);
                    });
        }
        for (FaultEvent hit : plan.faultEvents()) {
            agenda.at(hit.at(), () -> begin(hit));
        }
        script.load().jumps().forEach(j -> agenda.at(j.at() + j.length(), () -> ended(now())));
    }

    private void tick() {
        double nowMillis = now();
        if (nowMillis - lastTick > STALL) {
            ledger.stalls.add(new double[] {lastTick, nowMillis});
        }
        lastTick = nowMillis;
        members.forEach(m -> m.engine.advance());
        agenda.run(nowMillis);
    }

    // --- processes ---

    /** Starts a process of this gateway; off the event loop. */
    private void begin(Member m, boolean cold, String jar) throws IOException {
        write(m, cold);
        double begunAt = now();
        GatewayProcess process =
                GatewayProcess.start(jar, m.folder, options.operator == null ? null : operator(m));
        loop.execute(
                () -> {
                    GatewayIncarnation life = ledger.addIncarnation(m.number);
                    life.begunAt = begunAt;
                    m.life = life;
                    m.process = process;
                    m.away = false;
                    world.lives(m.number, life.number);
                    m.engine.restartNotices();
                    note(m, "process " + process.pid() + " starts");
                    process.onExit()
                            .thenAccept(
                                    exit ->
                                            loop.execute(
                                                    () -> {
                                                        life.endedAt = now();
                                                        life.exit = exit;
                                                        shut(m);
                                                        note(
                                                                m,
                                                                "process "
                                                                        + process.pid()
                                                                        + " ended, status "
                                                                        + exit);
                                                    }));
                });
    }

    /**
     * Writes the key of this run, once: a gateway that starts must not find the file while it is
     * written anew for the next one.
     */
    private void writeKeys() throws IOException {
        long drawn = Draw.stream(plan.seed(), "keys").nextLong() | Long.MIN_VALUE;
        byte[] key = Long.toHexString(drawn).getBytes(StandardCharsets.US_ASCII);
        Files.writeString(keys(), Base64.getEncoder().encodeToString(key) + "\n");
    }

    private Path keys() {
        return options.folder.resolve("keys");
    }

    /**
     * The gateway's own copy of the operator file, with its address, its zone, the first two
     * gateways' and the key file of this run in it.
     */
    private Path operator(Member m) throws IOException {
        return Files.writeString(
                m.folder.resolve("operator.conf"),
                Files.readString(options.operator)
                        .replace("@HOST@", range.net() + host(m.number))
                        .replace("@KEYS@", keys().toAbsolutePath().toString())
                        .replace("@ZONE@", "z" + plan.zone(m.number))
                        .replace("@FIRST@", range.net() + host(0))
                        .replace("@SECOND@", range.net() + host(1)));
    }

    private void note(Member m, String what) {
        ledger.events.add(new Try.Step(now(), "gateway " + m.number, what));
    }

    private void write(Member m, boolean cold) throws IOException {
        Files.createDirectories(m.folder);
        ObjectNode c =
                JSON.createObjectNode()
                        .put(
                                "name",
                                "g" + (script.fleet().sameName().contains(m.number) ? 0 : m.number))
                        .put("listen", range.net() + host(m.number) + ":" + GATEWAY_PORT)
                        .put("engine", range.net() + host(m.number) + ":" + m.enginePort)
                        .put("roster", range.net() + host(m.number) + ":" + ROSTER_PORT)
                        .put(
                                "seed",
                                Long.toHexString(
                                        Draw.stream(
                                                        plan.seed(),
                                                        "gateway "
                                                                + m.number
                                                                + " "
                                                                + System.nanoTime())
                                                .nextLong()))
                        .put("stop_ms", script.fleet().shutdownGraceMillis());
        c.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", script.fleet().memoryMb())
                .put("sockets", script.fleet().sockets());
        c.set("settings", PlatformSettings.of(script, cold));
        Files.writeString(m.folder.resolve("config.json"), c.toPrettyString());
    }

    private void sample() {
        while (!over) {
            for (Member m : members) {
                GatewayProcess process = m.process;
                GatewayIncarnation life = m.life;
                if (process != null) {
                    life.addSample(
                            process.memoryMb(), process.descriptors(), now() / script.length());
                }
            }
            try {
                Thread.sleep((long) LOOK_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Guards the callers' proof that nothing ran: who has no gateway behind it accepts nothing. */
    private void shut(Member m) {
        if (!m.shut && !over) {
            m.shut = true;
            keepers.execute(() -> refuse(m.callersRelay, true));
        }
    }

    private void refuse(StreamRelay relay, boolean refuses) {
        if (relay == null) {
            // A gateway that ended before the doors were opened: the start tells of it.
            return;
        }
        try {
            relay.refuse(refuses);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Opens the doors of those that listen again, as the system tells: no connection is made for
     * it.
     */
    private void doors() {
        try {
            while (!over) {
                if (members.stream().anyMatch(m -> m.shut)) {
                    Set<String> listening =
                            Files.readAllLines(Path.of("/proc/net/tcp"), StandardCharsets.US_ASCII)
                                    .stream()
                                    .map(String::strip)
                                    .filter(l -> l.contains(" 0A "))
                                    .map(l -> l.split("\\s+")[1])
                                    .collect(Collectors.toSet());
                    for (Member m : members) {
                        if (m.shut
                                && listening.contains(hex(address(host(m.number), GATEWAY_PORT)))) {
                            refuse(m.callersRelay, false);
                            m.shut = false;
                        }
                    }
                }
                Thread.sleep(DOORS_MS);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            // The lab is closed.
        }
    }

    /** As proc(5) has it: the address as a number of this machine's order, then the port. */
    private static String hex(InetSocketAddress address) {
        byte[] b = address.getAddress().getAddress();
        return String.format("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], address.getPort());
    }

    // --- faults ---

    private void begin(FaultEvent hit) {
        if (hit.gateway() < 0) {
            roster.down(true);
            agenda.at(
                    hit.until(),
                    () -> {
                        roster.down(false);
                        ended(now());
                    });
            return;
        }
        Member m = members.get(hit.gateway());
        String what = hit.fault().action().name().toLowerCase(Locale.ROOT);
        note(m, "fault: " + what);
        if (hit.fault().action().toLinks()) {
            cutLinks(m, hit);
            return;
        }
        if (hit.fault().action().ends()) {
            if (m.away) {
                note(m, "away already");
                return;
            }
            m.away = true;
        }
        switch (hit.fault().action()) {
            case KILL, KILL_GATEWAY -> {
                m.life.endedByScript = true;
                shut(m);
                if (hit.fault().action() == FaultAction.KILL) {
                    m.engine.crash();
                }
                keepers.execute(m.process::kill);
                comeBack(m, hit);
            }
            case NOTICE -> notice(m, hit);
            case STOP -> {
                ledger.excusedIntervals.add(new ExcusedInterval(m.number, now(), hit.until()));
                GatewayProcess process = m.process;
                keepers.execute(() -> signal(process, "STOP"));
                agenda.at(hit.until(), () -> keepers.execute(() -> signal(process, "CONT")));
            }
            case ENGINE_CRASH -> {
                m.engine.crash();
                agenda.at(hit.until(), () -> m.engine.start(true));
            }
            case ENGINE_PAUSE -> lasting(hit, m.engine::pause);
            case ENGINE_SICK -> lasting(hit, m.engine::sick);
            case ENGINE_SLOW -> lasting(hit, on -> m.engine.slow(on ? hit.fault().factor() : 1));
            case ENGINE_MOVE -> move(m, hit);
            default -> throw new IllegalStateException(what);
        }
        if (!hit.fault().action().ends()) {
            agenda.at(Math.max(hit.at(), hit.until()), () -> ended(now()));
        }
    }

    private void ended(double at) {
        ledger.faultEnd = Double.isNaN(ledger.faultEnd) ? at : Math.max(at, ledger.faultEnd);
    }

    private void lasting(FaultEvent hit, Consumer<Boolean> set) {
        set.accept(true);
        agenda.at(hit.until(), () -> set.accept(false));
    }

    private void signal(GatewayProcess process, String name) {
        try {
            process.signal(name);
        } catch (IOException e) {
            loop.execute(() -> ledger.strange.add("can't send SIG" + name + ": " + e.getMessage()));
        }
    }

    private void notice(Member m, FaultEvent hit) {
        GatewayIncarnation life = m.life;
        GatewayProcess process = m.process;
        life.noticedAt = now();
        life.endedByScript = true;
        keepers.execute(process::notice);
        signalAfterNotice(process, hit.fault());
        agenda.at(
                now() + script.fleet().shutdownGraceMillis(),
                () -> {
                    if (life.exit < 0) {
                        note(m, "did not end on notice: killed");
                        ledger.excusedIntervals.add(
                                new ExcusedInterval(m.number, now() - 1, now() + 1));
                        keepers.execute(process::kill);
                    }
                });
        whenEnded(
                m,
                life,
                () -> {
                    m.engine.crash();
                    restart(m, hit);
                });
    }

    /** Sends the signals that follow a notice, until its process has ended. */
    private void signalAfterNotice(GatewayProcess process, Script.Fault notice) {
        for (int i = 0; i < notice.signals().size(); i++) {
            String name = notice.signals().get(i);
            agenda.at(
                    now() + (i + 1) * notice.signalGap(),
                    () -> keepers.execute(() -> signal(process, name)));
        }
    }

    private void whenEnded(Member m, GatewayIncarnation life, Runnable task) {
        if (life.exit >= 0) {
            task.run();
        } else {
            agenda.at(now() + 5, () -> whenEnded(m, life, task));
        }
    }

    private void comeBack(Member m, FaultEvent hit) {
        GatewayIncarnation life = m.life;
        double from = now();
        whenEnded(
                m,
                life,
                () -> {
                    ledger.excusedIntervals.add(
                            new ExcusedInterval(m.number, from, life.endedAt + 50));
                    restart(m, hit);
                });
    }

    private void restart(Member m, FaultEvent hit) {
        agenda.at(
                now() + hit.awayMillis(),
                () -> {
                    ended(now());
                    keepers.execute(
                            () -> {
                                folder(m, hit.fault().folder());
                                String jar = hit.fault().jar();
                                try {
                                    begin(m, true, jar.isEmpty() ? options.jar : jar);
                                } catch (IOException e) {
                                    loop.execute(
                                            () ->
                                                    ledger.strange.add(
                                                            "gateway "
                                                                    + m.number
                                                                    + " can't be started again: "
                                                                    + e.getMessage()));
                                }
                            });
                    if (!m.engine.up()) {
                        agenda.at(
                                now() + RecoveryBound.ENGINE_AFTER,
                                () -> {
                                    m.engine.start(true);
                                    roster.engineUp(m.number);
                                });
                    }
                });
    }

    private void folder(Member m, StateRetention folder) {
        Path state = m.folder.resolve("tmp");
        try {
            switch (folder) {
                case KEEP -> copy(state, m.older);
                case LOSE -> delete(state);
                case OLD -> {
                    delete(state);
                    if (Files.exists(m.older)) {
                        copy(m.older, state);
                    }
                }
            }
        } catch (IOException e) {
            loop.execute(
                    () ->
                            ledger.strange.add(
                                    "folder of gateway " + m.number + ": " + e.getMessage()));
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        delete(to);
        try (Stream<Path> all = Files.walk(from)) {
            for (Path p : all.toList()) {
                Files.copy(
                        p,
                        to.resolve(from.relativize(p).toString()),
                        StandardCopyOption.COPY_ATTRIBUTES);
            }
        }
    }

    /** Deletes a folder and all in it, if it is there. */
    public static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(p);
                }
            }
        }
    }

    /** The engine answers at another address from now on; the old one refuses. */
    private void move(Member m, FaultEvent hit) {
        m.enginePort = m.enginePort == ENGINE_RELAY_PORT ? MOVED_RELAY_PORT : ENGINE_RELAY_PORT;
        GatewayProcess process = m.process;
        keepers.execute(
                () -> {
                    try {
                        StreamRelay before = m.engineRelay;
                        m.engineRelay = engineRelay(m, m.enginePort);
                        write(m, false);
                        before.refuse(true);
                        m.links.get(Link.ENGINE).get(0).resetAll();
                        if (hit.notified()) {
                            process.signal("HUP");
                        }
                    } catch (IOException e) {
                        loop.execute(
                                () ->
                                        ledger.strange.add(
                                                "engine of gateway "
                                                        + m.number
                                                        + " can't move: "
                                                        + e.getMessage()));
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private void cutLinks(Member m, FaultEvent hit) {
        List<LinkFaults> hitLinks = new ArrayList<>();
        for (Link link : hit.fault().links()) {
            List<LinkFaults> all = m.links.get(link);
            hitLinks.addAll(
                    all.size() == 1 || hit.fault().callersZone() < 0
                            ? all
                            : List.of(all.get(hit.fault().callersZone())));
        }
        // First: a connection may be reset before the next reading of the clock.
        double begunAt = now();
        hitLinks.forEach(l -> l.begin(hit.fault()));
        if (hit.fault().links().contains(Link.CALLERS)) {
            ledger.excusedIntervals.add(new ExcusedInterval(m.number, begunAt, hit.until()));
        }
        refuse(m, hit, true);
        agenda.at(
                hit.until(),
                () -> {
                    refuse(m, hit, false);
                    hitLinks.forEach(l -> l.end(hit.fault()));
                    note(m, "fault ends: " + hit.fault().action().name().toLowerCase(Locale.ROOT));
                    ended(now());
                });
    }

    /**
     * Only a whole door can refuse; where but some of its links do, each connection is reset as it
     * comes.
     */
    private void refuse(Member m, FaultEvent hit, boolean on) {
        if (hit.fault().action() == FaultAction.REFUSE) {
            keepers.execute(
                    () -> {
                        if (hit.fault().links().contains(Link.ENGINE)) {
                            refuse(m.engineRelay, on);
                        }
                        if (hit.fault().links().containsAll(List.of(Link.CALLERS, Link.CHECKS))
                                && hit.fault().callersZone() < 0) {
                            refuse(m.callersRelay, on);
                        }
                    });
        }
    }

    // --- the end ---

    /** All leave, on notice: what the day has not asked for yet. */
    private void leaveAll() throws InterruptedException {
        onLoop(
                () ->
                        members.forEach(
                                m -> {
                                    if (m.process != null && m.life.exit < 0) {
                                        m.life.endedByScript = true;
                                        m.life.noticedAt =
                                                Math.min(
                                                        now(),
                                                        Double.isNaN(m.life.noticedAt)
                                                                ? now()
                                                                : m.life.noticedAt);
                                        m.process.notice();
                                    }
                                }));
        // Generous: how long a process takes to end that has left in order hangs on the machine.
        double until = now() + script.fleet().shutdownGraceMillis() + END_PATIENCE;
        boolean[] all = new boolean[1];
        while (!all[0] && now() < until) {
            Thread.sleep(20);
            onLoop(() -> all[0] = members.stream().allMatch(m -> m.life.exit >= 0));
        }
        onLoop(
                () ->
                        members.forEach(
                                m -> {
                                    if (m.life.exit < 0) {
                                        ledger.strange.add(
                                                "gateway " + m.number + " did not end on notice");
                                    }
                                }));
    }

    /** What the gateways wrote, for the ways of requests; a trace is a fault of the program. */
    private void readLogs() throws IOException {
        for (Member m : members) {
            for (String line : log(m).lines().toList()) {
                if (line.matches("\\d{4}-.*T.*")) {
                    double at =
                            java.time.Instant.parse(line.substring(0, line.indexOf(' ')))
                                            .toEpochMilli()
                                    - world.unixAtZero();
                    ledger.events.add(
                            new Try.Step(
                                    at,
                                    "gateway " + m.number,
                                    line.substring(line.indexOf(' ') + 1)));
                } else if (line.contains("Exception") || line.contains("Error")) {
                    ledger.strange.add("gateway " + m.number + " wrote: " + line.strip());
                }
            }
        }
        ledger.events.sort(Comparator.comparingDouble(Try.Step::at));
    }

    private void progress() throws InterruptedException {
        onLoop(
                () -> {
                    long answered =
                            ledger.requests.stream()
                                    .filter(f -> f.end == Try.Outcome.SERVED)
                                    .count();
                    long ended = ledger.requests.stream().filter(f -> f.end != null).count();
                    options.progress.printf(
                            Locale.ROOT,
                            "%4.0f s  %d served of %d ended, %d tries, %d of %d gateways run%n",
                            now() / 1000,
                            answered,
                            ended,
                            ledger.tries.size(),
                            members.stream().filter(m -> m.life.exit < 0).count(),
                            members.size());
                });
    }

    /** Idle and all time of all cores so far, in ticks. */
    private static long[] cpu() throws IOException {
        String[] words =
                Files.readAllLines(Path.of("/proc/stat"), StandardCharsets.US_ASCII)
                        .get(0)
                        .split("\\s+");
        long all = 0;
        for (int i = 1; i < words.length; i++) {
            all += Long.parseLong(words[i]);
        }
        return new long[] {Long.parseLong(words[4]), all};
    }

    /** Ends whatever still runs. */
    @Override
    public void close() throws IOException {
        over = true;
        for (Member m : members) {
            if (m.process != null) {
                m.process.kill();
            }
        }
        keepers.shutdownNow();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        relays.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        if (range != null) {
            range.close();
        }
    }
}
