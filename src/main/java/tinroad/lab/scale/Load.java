package tinroad.lab.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.HdrHistogram.Histogram;
import tinroad.lab.fake.Wire;

/**
 * Requests to one address in open loop: each goes out when it was planned, whatever became of those
 * before, and its time counts from the plan. Owned by one event loop.
 */
final class Load {
    private static final int LARGEST = 70_000;
    private static final int NUMBERS = 65_535;
    private static final long LONGEST_MICROS = 60_000_000;
    private static final byte[] BODY = new byte[100];
    private static final int OK = 200;
    private static final int CONNECT_S = 10;

    /**
     * A request without an answer yet.
     *
     * @param measurement the one during which it was asked
     */
    private record Open(long plannedNanos, int measurement, IntConsumer heard) {}

    private final class Line extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Integer, Open> open = new HashMap<>();
        private final Map<Integer, StringBuilder> partial = new HashMap<>();
        private ChannelFuture connecting;
        private int numbers;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record) {
            int type = record.getUnsignedByte(1);
            int number = record.getUnsignedShort(2);
            if (type == Wire.STDOUT) {
                partial.computeIfAbsent(number, n -> new StringBuilder())
                        .append(
                                record.toString(
                                        Wire.HEADER,
                                        record.getUnsignedShort(4),
                                        StandardCharsets.ISO_8859_1));
            } else if (type == Wire.END_REQUEST) {
                StringBuilder text = partial.remove(number);
                Open o = open.remove(number);
                if (o != null) {
                    ended(o, Wire.Response.read(text == null ? "" : text.toString()).status());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            List.copyOf(open.values()).forEach(o -> ended(o, 0));
            open.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Scale.Held sizes;
    private final long seed;
    private final SplittableRandom random;
    private final List<Line> lines = new ArrayList<>();
    private final Histogram took = new Histogram(LONGEST_MICROS, 3);
    private long asked;
    private long others;
    private int measurement;
    private int turn;

    /** A load to this address; the same seed asks for the same, wherever it goes. */
    Load(EventLoop loop, InetSocketAddress to, Scale.Held sizes, long seed) {
        this.loop = loop;
        this.to = to;
        this.sizes = sizes;
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Opens so many connections; blocks until they are there. */
    void connect(int connections) throws IOException, InterruptedException {
        for (int i = 0; i < connections; i++) {
            Line line = open();
            if (!line.connecting.await(CONNECT_S, TimeUnit.SECONDS)
                    || !line.connecting.isSuccess()) {
                throw new IOException(
                        "connection " + i + " to " + to + ": " + line.connecting.cause());
            }
            lines.add(line);
        }
    }

    private Line open() {
        Line line = new Line();
        line.connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new LengthFieldBasedFrameDecoder(
                                                                LARGEST, 4, 2, 2, 0),
                                                        line);
                                    }
                                })
                        .connect(to);
        return line;
    }

    /** Sends the next request, which was planned for this moment; on the loop. */
    void ask(long plannedNanos) {
        asked++;
        send(SettingsFile.route(random.nextInt(sizes.routes())), plannedNanos, null);
    }

    /**
     * Asks for a route beside the load; {@code heard} gets the status, or 0 where the connection
     * ended.
     */
    void probe(String route, IntConsumer heard) {
        loop.execute(() -> send(route, System.nanoTime(), heard));
    }

    private void send(String route, long plannedNanos, IntConsumer heard) {
        turn = (turn + 1) % lines.size();
        // A gateway closes connections that rest, so that callers spread anew: whoever has a
        // request opens another.
        if (lines.get(turn).connecting.isDone()
                && !lines.get(turn).connecting.channel().isActive()) {
            lines.set(turn, open());
        }
        Line line = lines.get(turn);
        Open open = new Open(plannedNanos, measurement, heard);
        line.numbers = line.numbers % NUMBERS + 1;
        line.open.put(line.numbers, open);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + route);
        fields.put("HTTP_REQ_ID", String.format("%016x", random.nextLong()));
        fields.put("HTTP_REQ_TIME", Long.toString(System.currentTimeMillis()));
        fields.put("HTTP_REQ_FROM", Integer.toString(random.nextInt(sizes.callers())));
        fields.put(
                "HTTP_REQ_OWNER",
                sizes.tenants() == 0 ? "" : SettingsFile.tenant(random.nextInt(sizes.tenants())));
        fields.put("HTTP_REQ_KB", "24.0");
        fields.put("HTTP_REQ_RANK", "0.5");
        Channel channel = line.connecting.channel();
        int number = line.numbers;
        line.connecting.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        channel.writeAndFlush(Wire.request(channel.alloc(), number, fields, BODY));
                    } else if (line.open.remove(number) != null) {
                        ended(open, 0);
                    }
                });
    }

    private void ended(Open open, int status) {
        if (open.heard != null) {
            open.heard.accept(status);
        } else if (open.measurement != measurement) {
            return;
        } else if (status == OK) {
            took.recordValue(micros(open));
        } else {
            others++;
        }
    }

    private static long micros(Open open) {
        return Math.max(
                0, Math.min(LONGEST_MICROS, (System.nanoTime() - open.plannedNanos) / 1000));
    }

    /** What is asked from now on counts; what is still unanswered from before does not. */
    void begin() {
        measurement++;
        took.reset();
        asked = 0;
        others = 0;
    }

    /**
     * What came of it, what is not answered yet with the time that it has waited so far; on the
     * loop.
     */
    Result result() {
        Histogram all = took.copy();
        lines.forEach(
                line ->
                        line.open.values().stream()
                                .filter(o -> o.heard == null && o.measurement == measurement)
                                .forEach(o -> all.recordValue(micros(o))));
        return new Result(all, asked, others);
    }

    /**
     * A load's result.
     *
     * @param took times in microseconds of what was served
     * @param others requests that were not served
     */
    record Result(Histogram took, long asked, long others) {
        double ms(double percentile) {
            return took.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    long seed() {
        return seed;
    }

    void close() {
        lines.forEach(line -> line.connecting.channel().close());
    }
}
