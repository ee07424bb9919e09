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
 * An engine: the protocol of its link over the model of its cores. What it ran, and what it made,
 * it notes in the ledger.
 */
public final class FakeEngine {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STORED = 4000;
    private static final int LONGEST_LINE = 64 * 1024;

    /** Share of its work that a run does before what lies behind the engine fails it. */
    public static final double SICK_PART = 0.2;

    /** So long, in ms, an engine that is not cold has been up. */
    public static final double UP_BEFORE = 3_600_000;

    private static final double MEMORY_KB = 60_000;
    private static final double RUN_KB = 96;

    private record Running(Try t, double since, String result, boolean sick, int life) {}

    private final LabContext world;
    private final int gateway;
    private final double speed;
    private final ArrayDeque<String> stored = new ArrayDeque<>();
    private final Map<String, Running> running = new HashMap<>();
    private CoreModel cores;
    private double upSince;
    private boolean up;
    private boolean fresh;
    private boolean paused;
    private boolean pausesAtNextRun;
    private boolean sick;
    private long notices;
    private ChannelHandlerContext link;

    /** Attached while the engine is not up, with the number of its last notice. */
    private ChannelHandlerContext waiting;

    private long waitingAfter;

    /** The engine of this gateway; it listens once {@link #listen} was called. */
    public FakeEngine(LabContext world, int gateway, double speed) {
        this.world = world;
        this.gateway = gateway;
        this.speed = speed;
        world.engine(gateway, this);
        start(false);
    }

    /** Listens; blocks until it does. */
    public void listen(InetSocketAddress at) throws InterruptedException {
        new ServerBootstrap()
                .group(world.loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new LineBasedFrameDecoder(LONGEST_LINE),
                                                new Commands());
                            }
                        })
                .bind(at)
                .sync();
    }

    /** The engine comes up, cold or as one that was up all the time. */
    public void start(boolean cold) {
        Script.Fleet fleet = world.plan.script().fleet();
        cores =
                new CoreModel(
                        world.plan.script().engine(), fleet.cores(), speed, world.now(), cold);
        upSince = cold ? world.now() : world.now() - UP_BEFORE;
        fresh = cold;
        up = true;
        if (waiting != null) {
            ChannelHandlerContext ctx = waiting;
            waiting = null;
            hello(ctx, waitingAfter);
        }
    }

    /**
     * What happened before the load is forgotten, but for the start of the engine; time has moved
     * by {@code shift} ms.
     */
    public void rebased(double shift) {
        double since = upSince - shift;
        start(false);
        upSince = since;
    }

    /** The engine's process dies: all runs are lost, and the link. */
    public void crash() {
        account();
        up = false;
        paused = false;
        pausesAtNextRun = false;
        running.clear();
        cores.clear();
        // Numbers go on: each start of the gateway, not of the engine, begins them anew.
        stored.clear();
        if (link != null) {
            link.close();
            link = null;
        }
        waiting = null;
    }

    private void account() {
        world.ledger.engineWork += cores.done();
    }

    /** A new process of the gateway begins: notices are numbered anew. */
    public void restartNotices() {
        notices = 0;
        stored.clear();
    }

    /**
     * Does and says nothing for a while, from the moment on at which a run is under way: at once,
     * or when the next one begins. Guards scripts against a pause that no run happens to be in.
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

    /** What lies behind fails, or works again. */
    public void sick(boolean on) {
        sick = on;
    }

    /** Goes on with this share of its speed. */
    public void slow(double factor) {
        advance();
        cores.slow(factor);
    }

    /** Whether it is up. */
    public boolean up() {
        return up;
    }

    /** The run is over: what it did so far is counted. */
    public void end() {
        advance();
        if (up) {
            account();
        }
    }

    /** A check or a new connection, which costs the cores this work to take in. */
    void takeIn(double work) {
        if (up && work > 0) {
            advance();
            cores.read(work);
        }
    }

    /** A request, which costs the cores a share of its class's work to read. */
    void read(PlannedRequest asked) {
        Script script = world.plan.script();
        takeIn(script.engine().read() * script.classes().get(asked.kind()).work());
    }

    /** Brings the cores to now, and tells what ended. */
    public void advance() {
        if (!up) {
            return;
        }
        for (String id : cores.advance(world.now())) {
            Running run = running.remove(id);
            // What an earlier process ordered ends, too: nobody is told.
            if (run != null && run.life == world.life(gateway)) {
                done(
                        run.t,
                        run.sick ? "crashed" : "done",
                        world.now() - run.since,
                        run.sick ? null : run.result);
            }
        }
    }

    private void done(Try t, String state, double took, String result) {
        t.addStep(world.now(), "engine " + gateway, state + " after " + Math.round(took) + " ms");
        ObjectNode line =
                JSON.createObjectNode()
                        .put("type", "DONE")
                        .put("n", ++notices)
                        .put("job", t.id)
                        .put("state", state)
                        .put("took", took);
        if (result != null) {
            t.result = result;
            line.put("data", result.getBytes(StandardCharsets.ISO_8859_1));
        }
        stored.add(line.toString());
        if (stored.size() > STORED) {
            stored.poll();
        }
        tell(link, line.toString());
    }

    private static void tell(ChannelHandlerContext to, String line) {
        if (to != null) {
            to.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8));
        }
    }

    private void hello(ChannelHandlerContext ctx, long after) {
        if (link != null && link != ctx) {
            link.close();
        }
        link = ctx;
        tell(
                ctx,
                JSON.createObjectNode()
                        .put("type", "HELLO")
                        .put("state", fresh ? "fresh" : "seasoned")
                        .put("took", world.now() - upSince)
                        .toString());
        long first = notices - stored.size() + 1;
        int skip = (int) Math.max(0, Math.min(stored.size(), after - first + 1));
        stored.stream().skip(skip).forEach(line -> tell(ctx, line));
    }

    private void run(ChannelHandlerContext ctx, JsonNode command) throws IOException {
        String id = command.path("job").asText();
        Try t = world.byId.get(id);
        byte[] body = command.path("data").binaryValue();
        if (t == null || t.gateway != gateway) {
            no(ctx, id);
            return;
        }
        PlannedRequest asked = world.plan.requests().get(t.request);
        if (!world.plan
                        .script()
                        .classes()
                        .get(asked.kind())
                        .name()
                        .equals(command.path("kind").asText())
                || !Arrays.equals(body, Bodies.of(asked))) {
            world.ledger.strange.add(
                    "engine " + gateway + " was told to run " + id + " with another class or body");
            no(ctx, id);
            return;
        }
        if (running.containsKey(id) && world.mutant != LabContext.Mutant.ENGINE_RUNS_TWICE) {
            return;
        }
        if (t.runs > 0 && world.mutant != LabContext.Mutant.ENGINE_RUNS_TWICE) {
            done(t, "stale", 0, null);
            return;
        }
        begin(t, asked);
        if (world.mutant == LabContext.Mutant.ENGINE_RUNS_TWICE && t.request % 97 == 5) {
            begin(t, asked);
        }
    }

    private void begin(Try t, PlannedRequest asked) {
        t.runs++;
        t.ranAt = world.now();
        t.addStep(world.now(), "engine " + gateway, "run " + t.runs + " begins");
        world.ledger.count(RunHistory.Counter.RUNS, gateway, world.now());
        String result =
                "result " + t.runs + " of " + t.id + " at " + gateway + " for " + asked.number();
        running.put(t.id, new Running(t, world.now(), result, sick, world.life(gateway)));
        cores.start(t.id, asked.work() * (sick ? SICK_PART : 1));
        if (pausesAtNextRun) {
            pausesAtNextRun = false;
            setPaused(true);
        }
    }

    /** The gauge of memory with so many runs. */
    public static double memoryShare(int runs) {
        return Math.min(1, RUN_KB * runs / MEMORY_KB);
    }

    private static void no(ChannelHandlerContext ctx, String id) {
        tell(
                ctx,
                JSON.createObjectNode()
                        .put("type", "NO")
                        .put("state", "RUN")
                        .put("job", id)
                        .toString());
    }

    private void stats(ChannelHandlerContext ctx, String ref) {
        ObjectNode line = JSON.createObjectNode().put("type", "STATS").put("ref", ref);
        line.putArray("gauges")
                .add(cores.use())
                .add((double) cores.present())
                .add(memoryShare(running.size()))
                .add((double) world.connections(gateway));
        tell(ctx, line.toString());
    }

    /** One link. */
    private final class Commands extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
            if (paused) {
                // Read once it goes on: in the kernel's hands until then.
                ByteBuf kept = line.retainedDuplicate();
                world.agenda.at(world.now() + 1, () -> again(ctx, kept));
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
                        hello(ctx, command.path("n").asLong());
                    } else {
                        waiting = ctx;
                        waitingAfter = command.path("n").asLong();
                    }
                }
                case "RUN" -> run(ctx, command);
                case "STAT" -> stats(ctx, command.path("ref").asText());
                default -> ctx.close();
            }
        }

        private void again(ChannelHandlerContext ctx, ByteBuf line) {
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
            waiting = waiting == ctx ? null : waiting;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
