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
 * The process of some hollow gateways: started by the lab, asked by a line on its standard input,
 * answering each with a line of JSON. It ends with that input, so it never outlives the lab. No
 * command of the program: the lab starts it by its class.
 */
public final class HollowHost {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The name of the event loops, by which the lab finds their processor time. */
    static final String LOOP = "hollow-loop";

    private static final long BEAT_MS = 10;
    private static final long WATCH_MS = 250;
    private static final long LOOK_MS = 20;

    private final HollowSpec spec;
    private final MultiThreadIoEventLoopGroup group;
    private final Clock clock = Clock.anchored();
    private final List<Hollow> all = new ArrayList<>();
    private final ExecutorService reader =
            Executors.newSingleThreadExecutor(task -> daemon(task, "hollow-reader"));

    /** When settings came in force after a change was told, in ms. */
    private final ConcurrentLinkedQueue<Double> inForce = new ConcurrentLinkedQueue<>();

    private final Map<Integer, Double> heardOfDeath = new ConcurrentHashMap<>();
    private volatile double stall;

    private HollowHost(HollowSpec spec) {
        this.spec = spec;
        ThreadFactory threads = task -> daemon(task, LOOP);
        group = new MultiThreadIoEventLoopGroup(spec.threads(), threads, NioIoHandler.newFactory());
    }

    /** Started by the lab with the file of a {@link HollowSpec}. */
    public static void main(String[] args) throws Exception {
        HollowHost host = new HollowHost(HollowSpec.read(Path.of(args[0])));
        host.start();
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            System.out.println(host.answer(line.split(" ")));
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
            double[] last = {clock.nowMillis()};
            loop.scheduleAtFixedRate(
                    () -> {
                        double nowMillis = clock.nowMillis();
                        stall = Math.max(stall, nowMillis - last[0] - BEAT_MS);
                        last[0] = nowMillis;
                    },
                    BEAT_MS,
                    BEAT_MS,
                    TimeUnit.MILLISECONDS);
        }
        for (int i = 0; i < spec.count(); i++) {
            double begunAt = clock.nowMillis();
            Hollow hollow = new Hollow(spec, spec.first() + i, group.next(), clock);
            all.add(hollow);
            hollow.start(begunAt);
        }
        Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "hollow-watch"))
                .scheduleAtFixedRate(
                        () -> all.forEach(Hollow::watch),
                        WATCH_MS,
                        WATCH_MS,
                        TimeUnit.MILLISECONDS);
    }

    private ObjectNode answer(String[] words) throws Exception {
        switch (words[0]) {
            case "change" -> {
                double told = clock.nowMillis();
                // One after the other, as the files of a machine's gateways would be read by each
                // for itself.
                reader.execute(() -> all.forEach(h -> h.reread(at -> inForce.add(at - told))));
            }
            case "die" ->
                    all.stream()
                            .filter(h -> h.number() == Integer.parseInt(words[1]))
                            .forEach(h -> h.loop().execute(h::die));
            case "death" -> {
                heardOfDeath.clear();
                String name = words[1];
                all.stream()
                        .filter(h -> !Hollow.name(h.number()).equals(name))
                        .forEach(h -> look(h, name));
            }
            case "cut" ->
                    all.forEach(
                            h -> h.loop().execute(() -> h.wire().cut(Integer.parseInt(words[1]))));
            case "memory" -> {
                return JSON.createObjectNode().put("heapMb", heapAfterCollection());
            }
            default -> {}
        }
        return figures();
    }

    private void look(Hollow h, String name) {
        if (h.holdsDead(name)) {
            heardOfDeath.put(h.number(), clock.nowMillis());
        } else {
            h.loop().schedule(() -> look(h, name), LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static double heapAfterCollection() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1048576.0;
    }

    /** Sums over all of them, each read on the loop that owns it. */
    private ObjectNode figures() throws InterruptedException {
        ObjectNode to = JSON.createObjectNode();
        long[] sums = new long[7];
        int real = spec.zones().real().size();
        long[][] reals = new long[real][4];
        int[] known = {Integer.MAX_VALUE, 0};
        double[] start = new double[1];
        for (EventExecutor executor : group) {
            EventLoop loop = (EventLoop) executor;
            loop.submit(
                            () -> {
                                for (Hollow h : all) {
                                    if (h.loop() == loop) {
                                        add(h, sums, reals, known, start);
                                    }
                                }
                            })
                    .await();
        }
        to.put("count", all.size())
                .put("in", sums[0])
                .put("inBytes", sums[1])
                .put("out", sums[2])
                .put("outBytes", sums[3])
                .put("walked", sums[4])
                .put("entries", sums[5])
                .put("riding", sums[6])
                .put("knownLeast", known[0])
                .put("knownSum", known[1])
                .put("startMs", start[0] / all.size())
                .put("stallMs", stall);
        stall = 0;
        ArrayNode of = to.putArray("real");
        for (long[] r : reals) {
            of.addObject()
                    .put("from", r[0])
                    .put("fromBytes", r[1])
                    .put("to", r[2])
                    .put("toBytes", r[3]);
        }
        ArrayNode took = to.putArray("inForceMs");
        inForce.forEach(took::add);
        ArrayNode heard = to.putArray("heardOfDeathAt");
        heardOfDeath.values().forEach(heard::add);
        return to;
    }

    private static void add(Hollow h, long[] sums, long[][] reals, int[] known, double[] start) {
        ZoneWire w = h.wire();
        sums[0] += w.in.datagrams;
        sums[1] += w.in.bytes;
        sums[2] += w.out.datagrams;
        sums[3] += w.out.bytes;
        sums[4] += h.walked();
        sums[5] += h.entries();
        sums[6] += h.riding();
        for (int r = 0; r < reals.length; r++) {
            reals[r][0] += w.fromReal[r].datagrams;
            reals[r][1] += w.fromReal[r].bytes;
            reals[r][2] += w.toReal[r].datagrams;
            reals[r][3] += w.toReal[r].bytes;
        }
        known[0] = Math.min(known[0], h.known());
        known[1] += h.known();
        start[0] += h.startMs();
    }
}
