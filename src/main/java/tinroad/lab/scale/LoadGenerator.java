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
 * An open-loop load generator for one address: each request is sent at its planned time,
 * independent of the progress of earlier ones, and its latency counts from the planned time. Owned
 * by one event loop.
 */
final class LoadGenerator {
    private static final int MAX_RECORD_BYTES = 70_000;
    private static final int MAX_REQUEST_NUMBER = 65_535;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final byte[] BODY = new byte[100];
    private static final int STATUS_OK = 200;
    private static final int CONNECT_TIMEOUT_SECONDS = 10;

    /**
     * A request that has no response yet.
     *
     * @param interval the measuring interval in which it was sent
     * @param onStatus gets the status of the response; null for requests of the load
     */
    private record PendingRequest(long plannedNanos, int interval, IntConsumer onStatus) {}

    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Integer, PendingRequest> pending = new HashMap<>();
        private final Map<Integer, StringBuilder> partialResponses = new HashMap<>();
        private ChannelFuture connectFuture;
        private int lastNumber;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record) {
            int type = record.getUnsignedByte(1);
            int number = record.getUnsignedShort(2);
            if (type == Wire.STDOUT) {
                partialResponses
                        .computeIfAbsent(number, n -> new StringBuilder())
                        .append(
                                record.toString(
                                        Wire.HEADER,
                                        record.getUnsignedShort(4),
                                        StandardCharsets.ISO_8859_1));
            } else if (type == Wire.END_REQUEST) {
                StringBuilder text = partialResponses.remove(number);
                PendingRequest request = pending.remove(number);
                if (request != null) {
                    complete(
                            request,
                            Wire.Response.read(text == null ? "" : text.toString()).status());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            List.copyOf(pending.values()).forEach(request -> complete(request, 0));
            pending.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final ScaleScript.Parameters parameters;
    private final long seed;
    private final SplittableRandom random;
    private final List<Connection> connections = new ArrayList<>();
    private final Histogram latencies = new Histogram(MAX_LATENCY_MICROS, 3);
    private long requests;
    private long unserved;
    private int interval;
    private int connectionIndex;

    /**
     * Creates a generator for this address. Generators with the same seed send the same requests,
     * whatever the address.
     */
    LoadGenerator(
            EventLoop loop,
            InetSocketAddress target,
            ScaleScript.Parameters parameters,
            long seed) {
        this.loop = loop;
        this.target = target;
        this.parameters = parameters;
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Opens connections; blocks until they are established. */
    void connect(int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            Connection connection = openConnection();
            if (!connection.connectFuture.await(CONNECT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    || !connection.connectFuture.isSuccess()) {
                throw new IOException(
                        "connection "
                                + i
                                + " to "
                                + target
                                + ": "
                                + connection.connectFuture.cause());
            }
            connections.add(connection);
        }
    }

    private Connection openConnection() {
        Connection connection = new Connection();
        connection.connectFuture =
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
                                                                MAX_RECORD_BYTES, 4, 2, 2, 0),
                                                        connection);
                                    }
                                })
                        .connect(target);
        return connection;
    }

    /**
     * Sends the next request of the load; called on the event loop.
     *
     * @param plannedNanos when it was planned to be sent
     */
    void sendNext(long plannedNanos) {
        requests++;
        send(SettingsFile.routeName(random.nextInt(parameters.routes())), plannedNanos, null);
    }

    /**
     * Sends one request beside the load, which is not part of the statistics.
     *
     * @param onStatus gets the status, or 0 where the connection was closed
     */
    void probe(String route, IntConsumer onStatus) {
        loop.execute(() -> send(route, System.nanoTime(), onStatus));
    }

    private void send(String route, long plannedNanos, IntConsumer onStatus) {
        connectionIndex = (connectionIndex + 1) % connections.size();
        // A gateway closes idle connections so that clients spread anew, so a closed connection
        // is replaced when there is a request to send.
        if (connections.get(connectionIndex).connectFuture.isDone()
                && !connections.get(connectionIndex).connectFuture.channel().isActive()) {
            connections.set(connectionIndex, openConnection());
        }
        Connection connection = connections.get(connectionIndex);
        PendingRequest request = new PendingRequest(plannedNanos, interval, onStatus);
        connection.lastNumber = connection.lastNumber % MAX_REQUEST_NUMBER + 1;
        connection.pending.put(connection.lastNumber, request);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + route);
        fields.put("HTTP_REQ_ID", String.format("%016x", random.nextLong()));
        fields.put("HTTP_REQ_TIME", Long.toString(System.currentTimeMillis()));
        fields.put("HTTP_REQ_FROM", Integer.toString(random.nextInt(parameters.callers())));
        fields.put(
                "HTTP_REQ_OWNER",
                parameters.tenants() == 0
                        ? ""
                        : SettingsFile.tenantName(random.nextInt(parameters.tenants())));
        fields.put("HTTP_REQ_KB", "24.0");
        fields.put("HTTP_REQ_RANK", "0.5");
        Channel channel = connection.connectFuture.channel();
        int number = connection.lastNumber;
        connection.connectFuture.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        channel.writeAndFlush(Wire.request(channel.alloc(), number, fields, BODY));
                    } else if (connection.pending.remove(number) != null) {
                        complete(request, 0);
                    }
                });
    }

    private void complete(PendingRequest request, int status) {
        if (request.onStatus != null) {
            request.onStatus.accept(status);
        } else if (request.interval != interval) {
            return;
        } else if (status == STATUS_OK) {
            latencies.recordValue(micros(request));
        } else {
            unserved++;
        }
    }

    private static long micros(PendingRequest request) {
        return Math.max(
                0, Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - request.plannedNanos) / 1000));
    }

    /**
     * Starts a measuring interval: requests sent from now on count, responses to earlier ones do
     * not.
     */
    void startInterval() {
        interval++;
        latencies.reset();
        requests = 0;
        unserved = 0;
    }

    /**
     * Returns the results of the interval. A request without a response counts with the time that
     * it has waited so far. Called on the event loop.
     */
    Result result() {
        Histogram recorded = latencies.copy();
        connections.forEach(
                connection ->
                        connection.pending.values().stream()
                                .filter(
                                        request ->
                                                request.onStatus == null
                                                        && request.interval == interval)
                                .forEach(request -> recorded.recordValue(micros(request))));
        return new Result(recorded, requests, unserved);
    }

    /**
     * The results of an interval.
     *
     * @param latencies in microseconds, of the requests that were served or still wait
     * @param requests number of requests sent
     * @param unserved requests that failed or were rejected
     */
    record Result(Histogram latencies, long requests, long unserved) {
        double millisAt(double percentile) {
            return latencies.getValueAtPercentile(percentile) / 1000.0;
        }
    }

    long seed() {
        return seed;
    }

    void close() {
        connections.forEach(connection -> connection.connectFuture.channel().close());
    }
}
