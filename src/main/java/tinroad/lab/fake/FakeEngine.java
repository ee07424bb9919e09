package tinroad.lab.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.script.Script;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/**
 * A fake engine: speaks the protocol of the engine link and runs requests on a model of its cores.
 * Records runs and results in the run's history.
 */
public final class FakeEngine {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_STORED_NOTICES = 4000;
    private static final int MAX_LINE_BYTES = 64 * 1024;

    /** Share of its work that a run does before a failing dependency of the engine fails it. */
    public static final double SICK_PART = 0.2;

    /** How long an engine that is not cold has been up, in ms. */
    public static final double UP_BEFORE = 3_600_000;

    private static final double ENGINE_MEMORY_KB = 60_000;
    private static final double MEMORY_PER_RUN_KB = 96;

    private record Running(Try t, double startedAt, String result, boolean sick, int incarnation) {}

    private final LabContext context;
    private final int gateway;
    private final double speed;
    private final ArrayDeque<String> storedNotices = new ArrayDeque<>();
    private final Map<String, Running> running = new HashMap<>();
    private CoreModel cores;
    private double upSince;
    private boolean up;
    private boolean startedCold;
    private boolean paused;
    private boolean pausesAtNextRun;
    private boolean sick;
    private long lastNotice;
    private ChannelHandlerContext link;

    /** The link that attached while the engine was down, or null. */
    private ChannelHandlerContext pendingLink;

    /** Number of the last notice that the pending link has received. */
    private long pendingLastNotice;

    /** Creates the engine of this gateway, up and warm; {@link #listen} opens its socket. */
    public FakeEngine(LabContext context, int gateway, double speed) {
        this.context = context;
        this.gateway = gateway;
        this.speed = speed;
        context.engine(gateway, this);
        start(false);
    }

    /** Opens the listening socket; blocks until it is bound. */
    public void listen(InetSocketAddress at) throws InterruptedException {
        new ServerBootstrap()
                .group(context.loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                                new Commands());
                            }
                        })
                .bind(at)
                .sync();
    }

    /** Starts the engine, cold or as if it had been up for long. */
    public void start(boolean cold) {
        Script.Fleet fleet = context.schedule.script().fleet();
        cores =
                new CoreModel(
                        context.schedule.script().engine(),
                        fleet.cores(),
                        speed,
                        context.now(),
                        cold);
        upSince = cold ? context.now() : context.now() - UP_BEFORE;
        startedCold = cold;
        up = true;
        if (pendingLink != null) {
            ChannelHandlerContext ctx = pendingLink;
            pendingLink = null;
            sendHello(ctx, pendingLastNotice);
        }
    }

    /**
     * Discards what happened before the load, except the time of the engine's start; the origin of
     * time has moved by {@code shift} ms.
     */
    public void rebased(double shift) {
        double originalStart = upSince - shift;
        start(false);
        upSince = originalStart;
    }

    /** The engine's process crashes: all runs and the link are lost. */
    public void crash() {
        recordWork();
        up = false;
        paused = false;
        pausesAtNextRun = false;
        running.clear();
        cores.clear();
        // The numbers of notices continue: they restart with the gateway, not with the engine.
        storedNotices.clear();
        if (link != null) {
            link.close();
            link = null;
        }
        pendingLink = null;
    }

    private void recordWork() {
        context.history.engineWork += cores.done();
    }

    /** A new process of the gateway starts: the numbers of notices start again. */
    public void restartNotices() {
        lastNotice = 0;
        storedNotices.clear();
    }

    /**
     * Pauses the engine, or resumes it. The pause starts when a run is in progress: at once, or
     * when the next one starts. Guards against scripts whose pause falls between two runs and has
     * no effect.
     */
    public void pause(boolean on) {
        advance();
        pausesAtNextRun = on && running.isEmpty();
        setPaused(on && !running.isEmpty());
    }

    private void setPaused(boolean on) {
        paused = on;
        cores.pause(on);
    }

    /** Makes the dependencies of the engine fail, or work again. */
    public void sick(boolean on) {
        sick = on;
    }

    /** Continues with this share of its speed. */
    public void slow(double factor) {
        advance();
        cores.slow(factor);
    }

    /** Whether the engine is up. */
    public boolean up() {
        return up;
    }

    /** Counts the work done so far, at the end of the lab run. */
    public void end() {
        advance();
        if (up) {
            recordWork();
        }
    }

    /** Adds the work that a check or a new connection costs the cores. */
    void addOverhead(double work) {
        if (up && work > 0) {
            advance();
            cores.read(work);
        }
    }

    /** Adds the work of reading a request, a share of its class's work. */
    void readRequest(PlannedRequest request) {
        Script script = context.schedule.script();
        addOverhead(script.engine().read() * script.classes().get(request.kind()).work());
    }

    /** Advances the cores to the present time and reports the runs that ended. */
    public void advance() {
        if (!up) {
            return;
        }
        for (String id : cores.advance(context.now())) {
            Running run = running.remove(id);
            // Runs that an earlier process of the gateway ordered end without a notice.
            if (run != null && run.incarnation == context.incarnation(gateway)) {
                complete(
                        run.t,
                        run.sick ? "crashed" : "done",
                        context.now() - run.startedAt,
                        run.sick ? null : run.result);
            }
        }
    }

    private void complete(Try t, String state, double elapsedMillis, String result) {
        t.addStep(
                context.now(),
                "engine " + gateway,
                state + " after " + Math.round(elapsedMillis) + " ms");
        ObjectNode line =
                JSON.createObjectNode()
                        .put("type", "DONE")
                        .put("n", ++lastNotice)
                        .put("job", t.id)
                        .put("state", state)
                        .put("took", elapsedMillis);
        if (result != null) {
            t.result = result;
            line.put("data", result.getBytes(StandardCharsets.ISO_8859_1));
        }
        storedNotices.add(line.toString());
        if (storedNotices.size() > MAX_STORED_NOTICES) {
            storedNotices.poll();
        }
        send(link, line.toString());
    }

    private static void send(ChannelHandlerContext to, String line) {
        if (to != null) {
            to.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8));
        }
    }

    private void sendHello(ChannelHandlerContext ctx, long lastReceived) {
        if (link != null && link != ctx) {
            link.close();
        }
        link = ctx;
        send(
                ctx,
                JSON.createObjectNode()
                        .put("type", "HELLO")
                        .put("state", startedCold ? "fresh" : "seasoned")
                        .put("took", context.now() - upSince)
                        .toString());
        long first = lastNotice - storedNotices.size() + 1;
        int skip = (int) Math.max(0, Math.min(storedNotices.size(), lastReceived - first + 1));
        storedNotices.stream().skip(skip).forEach(line -> send(ctx, line));
    }

    private void onRun(ChannelHandlerContext ctx, JsonNode command) throws IOException {
        String id = command.path("job").asText();
        Try t = context.triesById.get(id);
        byte[] body = command.path("data").binaryValue();
        if (t == null || t.gateway != gateway) {
            rejectRun(ctx, id);
            return;
        }
        PlannedRequest request = context.schedule.requests().get(t.request);
        if (!context.schedule
                        .script()
                        .classes()
                        .get(request.kind())
                        .name()
                        .equals(command.path("kind").asText())
                || !Arrays.equals(body, Bodies.of(request))) {
            context.history.strange.add(
                    "engine " + gateway + " received run " + id + " with another class or body");
            rejectRun(ctx, id);
            return;
        }
        if (running.containsKey(id) && context.mutant != LabContext.Mutant.ENGINE_RUNS_TWICE) {
            return;
        }
        if (t.runs > 0 && context.mutant != LabContext.Mutant.ENGINE_RUNS_TWICE) {
            complete(t, "stale", 0, null);
            return;
        }
        startRun(t, request);
        if (context.mutant == LabContext.Mutant.ENGINE_RUNS_TWICE && t.request % 97 == 5) {
            startRun(t, request);
        }
    }

    private void startRun(Try t, PlannedRequest request) {
        t.runs++;
        t.ranAt = context.now();
        t.addStep(context.now(), "engine " + gateway, "run " + t.runs + " begins");
        context.history.count(RunHistory.Counter.RUNS, gateway, context.now());
        String result =
                "result " + t.runs + " of " + t.id + " at " + gateway + " for " + request.number();
        running.put(
                t.id, new Running(t, context.now(), result, sick, context.incarnation(gateway)));
        cores.start(t.id, request.work() * (sick ? SICK_PART : 1));
        if (pausesAtNextRun) {
            pausesAtNextRun = false;
            setPaused(true);
        }
    }

    /** Gauge of memory, from 0 to 1, with this number of runs. */
    public static double memoryShare(int runs) {
        return Math.min(1, MEMORY_PER_RUN_KB * runs / ENGINE_MEMORY_KB);
    }

    private static void rejectRun(ChannelHandlerContext ctx, String id) {
        send(
                ctx,
                JSON.createObjectNode()
                        .put("type", "NO")
                        .put("state", "RUN")
                        .put("job", id)
                        .toString());
    }

    private void sendStats(ChannelHandlerContext ctx, String ref) {
        ObjectNode line = JSON.createObjectNode().put("type", "STATS").put("ref", ref);
        line.putArray("gauges")
                .add(cores.use())
                .add((double) cores.present())
                .add(memoryShare(running.size()))
                .add((double) context.connections(gateway));
        send(ctx, line.toString());
    }

    /** Reads the commands of one link. */
    private final class Commands extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
            if (paused) {
                // Handled when the engine resumes, as if it had waited in the socket until then.
                ByteBuf retained = line.retainedDuplicate();
                context.events.at(context.now() + 1, () -> handleDeferred(ctx, retained));
                return;
            }
            JsonNode command;
            try (InputStream in = new ByteBufInputStream(line)) {
                command = JSON.readTree(in);
            } catch (IOException e) {
                ctx.close();
                return;
            }
            advance();
            switch (command.path("type").asText()) {
                case "ATTACH" -> {
                    if (up) {
                        sendHello(ctx, command.path("n").asLong());
                    } else {
                        pendingLink = ctx;
                        pendingLastNotice = command.path("n").asLong();
                    }
                }
                case "RUN" -> onRun(ctx, command);
                case "STAT" -> sendStats(ctx, command.path("ref").asText());
                default -> ctx.close();
            }
        }

        private void handleDeferred(ChannelHandlerContext ctx, ByteBuf line) {
            try {
                channelRead0(ctx, line);
            } catch (IOException e) {
                ctx.close();
            } finally {
                line.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link = link == ctx ? null : link;
            pendingLink = pendingLink == ctx ? null : pendingLink;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
