package tinroad.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.EventExecutor;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import tinroad.config.ConfigException;
import tinroad.core.Clock;

/**
 * The main class of a process that runs several hollow gateways. The lab starts it by this class
 * and sends it commands, one per line, on its standard input; the process answers each with a line
 * of JSON. It exits when the input ends, so it never outlives the lab. It is not a command of the
 * program.
 */
public final class HollowHost {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Name of the event loop threads, by which the lab finds their processor time. */
    static final String LOOP_THREAD_NAME = "hollow-loop";

    private static final long STALL_CHECK_PERIOD_MILLIS = 10;
    private static final long RELOAD_CHECK_PERIOD_MILLIS = 250;
    private static final long DEATH_POLL_MILLIS = 20;

    private final HollowSpec spec;
    private final MultiThreadIoEventLoopGroup group;
    private final Clock clock = Clock.anchored();
    private final List<HollowGateway> gateways = new ArrayList<>();
    private final ExecutorService reloadExecutor =
            Executors.newSingleThreadExecutor(task -> daemon(task, "hollow-reader"));

    /** How long each change took from the command until it was in force in one gateway, in ms. */
    private final ConcurrentLinkedQueue<Double> changeDelays = new ConcurrentLinkedQueue<>();

    private final Map<Integer, Double> deathKnownAtMillis = new ConcurrentHashMap<>();
    private volatile double maxStallMillis;

    private HollowHost(HollowSpec spec) {
        this.spec = spec;
        ThreadFactory threads = task -> daemon(task, LOOP_THREAD_NAME);
        group = new MultiThreadIoEventLoopGroup(spec.threads(), threads, NioIoHandler.newFactory());
    }

    /** Runs the host; the argument is the path of the file of a {@link HollowSpec}. */
    public static void main(String[] args) throws Exception {
        HollowHost host = new HollowHost(HollowSpec.read(Path.of(args[0])));
        host.start();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            System.out.println(host.execute(line.split(" ")));
        }
        System.exit(0);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private void start() throws ConfigException {
        for (EventExecutor loop : group) {
            double[] lastRunMillis = {clock.nowMillis()};
            loop.scheduleAtFixedRate(
                    () -> {
                        double nowMillis = clock.nowMillis();
                        maxStallMillis =
                                Math.max(
                                        maxStallMillis,
                                        nowMillis - lastRunMillis[0] - STALL_CHECK_PERIOD_MILLIS);
                        lastRunMillis[0] = nowMillis;
                    },
                    STALL_CHECK_PERIOD_MILLIS,
                    STALL_CHECK_PERIOD_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        for (int i = 0; i < spec.count(); i++) {
            double startedAtMillis = clock.nowMillis();
            HollowGateway gateway = new HollowGateway(spec, spec.first() + i, group.next(), clock);
            gateways.add(gateway);
            gateway.start(startedAtMillis);
        }
        Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "hollow-watch"))
                .scheduleAtFixedRate(
                        () -> gateways.forEach(HollowGateway::reloadIfDue),
                        RELOAD_CHECK_PERIOD_MILLIS,
                        RELOAD_CHECK_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private ObjectNode execute(String[] command) throws Exception {
        switch (command[0]) {
            case "change" -> {
                double receivedAt = clock.nowMillis();
                // One gateway after the other: each gateway of a machine would read its own
                // file.
                reloadExecutor.execute(
                        () ->
                                gateways.forEach(
                                        h ->
                                                h.reload(
                                                        appliedAt ->
                                                                changeDelays.add(
                                                                        appliedAt - receivedAt))));
            }
            case "die" ->
                    gateways.stream()
                            .filter(h -> h.number() == Integer.parseInt(command[1]))
                            .forEach(h -> h.loop().execute(h::fallSilent));
            case "death" -> {
                deathKnownAtMillis.clear();
                String name = command[1];
                gateways.stream()
                        .filter(h -> !HollowGateway.name(h.number()).equals(name))
                        .forEach(h -> pollForDeath(h, name));
            }
            case "cut" ->
                    gateways.forEach(
                            h ->
                                    h.loop()
                                            .execute(
                                                    () ->
                                                            h.network()
                                                                    .isolateZone(
                                                                            Integer.parseInt(
                                                                                    command[1]))));
            case "memory" -> {
                return JSON.createObjectNode().put("heapMb", heapAfterGcMb());
            }
            default -> {}
        }
        return collectStats();
    }

    private void pollForDeath(HollowGateway h, String name) {
        if (h.knowsTerminated(name)) {
            deathKnownAtMillis.put(h.number(), clock.nowMillis());
        } else {
            h.loop()
                    .schedule(
                            () -> pollForDeath(h, name), DEATH_POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static double heapAfterGcMb() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1048576.0;
    }

    /** Sums over all gateways, each read on the event loop that owns it. */
    private ObjectNode collectStats() throws InterruptedException {
        ObjectNode stats = JSON.createObjectNode();
        long[] sums = new long[7];
        int realCount = spec.zones().real().size();
        long[][] reals = new long[realCount][4];
        int[] known = {Integer.MAX_VALUE, 0};
        double[] startMillisSum = new double[1];
        for (EventExecutor executor : group) {
            EventLoop loop = (EventLoop) executor;
            loop.submit(
                            () -> {
                                for (HollowGateway h : gateways) {
                                    if (h.loop() == loop) {
                                        addStats(h, sums, reals, known, startMillisSum);
                                    }
                                }
                            })
                    .await();
        }
        stats.put("count", gateways.size())
                .put("in", sums[0])
                .put("inBytes", sums[1])
                .put("out", sums[2])
                .put("outBytes", sums[3])
                .put("walked", sums[4])
                .put("entries", sums[5])
                .put("riding", sums[6])
                .put("knownLeast", known[0])
                .put("knownSum", known[1])
                .put("startMs", startMillisSum[0] / gateways.size())
                .put("stallMs", maxStallMillis);
        maxStallMillis = 0;
        ArrayNode realStats = stats.putArray("real");
        for (long[] r : reals) {
            realStats
                    .addObject()
                    .put("from", r[0])
                    .put("fromBytes", r[1])
                    .put("to", r[2])
                    .put("toBytes", r[3]);
        }
        ArrayNode delays = stats.putArray("inForceMs");
        changeDelays.forEach(delays::add);
        ArrayNode deathTimes = stats.putArray("heardOfDeathAt");
        deathKnownAtMillis.values().forEach(deathTimes::add);
        return stats;
    }

    private static void addStats(
            HollowGateway h, long[] sums, long[][] reals, int[] known, double[] startMillisSum) {
        NetworkEmulator network = h.network();
        sums[0] += network.in.datagrams;
        sums[1] += network.in.bytes;
        sums[2] += network.out.datagrams;
        sums[3] += network.out.bytes;
        sums[4] += h.visitedEntries();
        sums[5] += h.settingsEntries();
        sums[6] += h.piggybackQueueSize();
        for (int r = 0; r < reals.length; r++) {
            reals[r][0] += network.fromReal[r].datagrams;
            reals[r][1] += network.fromReal[r].bytes;
            reals[r][2] += network.toReal[r].datagrams;
            reals[r][3] += network.toReal[r].bytes;
        }
        known[0] = Math.min(known[0], h.presentMemberCount());
        known[1] += h.presentMemberCount();
        startMillisSum[0] += h.startMillis();
    }
}
