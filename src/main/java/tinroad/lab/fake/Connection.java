package tinroad.lab.fake;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One connection of a client proxy: requests out under numbers, answers in, in any order. */
final class Connection {
    private static final int CONNECT_MS = 1000;
    private static final int LARGEST = 70_000;
    private static final int LARGEST_NUMBER = 65_535;

    /** Who waits for an answer. */
    interface Waiter {
        /** The request was written whole. */
        void sent();

        /** A whole answer. */
        void answered(Wire.Response response);

        /**
         * The connection is gone, with or without the request having been written; the other side
         * closed it at this time.
         */
        void lost(boolean wasSent, double at);
    }

    private final LabContext world;
    private final Consumer<Connection> onEnd;
    private final Map<Integer, Waiter> open = new HashMap<>();
    private final Map<Integer, StringBuilder> partial = new HashMap<>();
    private final List<Runnable> untilConnected = new ArrayList<>();
    private Channel channel;
    private InetSocketAddress local;
    private boolean connected;
    private boolean ended;
    private int numbers;
    private double lastUsed;

    /** Begins to connect; {@code onEnd} hears once that it is gone. */
    Connection(
            LabContext world,
            InetSocketAddress from,
            InetSocketAddress to,
            Consumer<Connection> onEnd) {
        this.world = world;
        this.onEnd = onEnd;
        new Bootstrap()
                .group(world.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline()
                                        .addLast(
                                                new LengthFieldBasedFrameDecoder(
                                                        LARGEST, 4, 2, 2, 0),
                                                new Records());
                            }
                        })
                .connect(to, from)
                .addListener(
                        (ChannelFuture done) -> {
                            channel = done.channel();
                            connected = done.isSuccess();
                            local = (InetSocketAddress) channel.localAddress();
                            if (connected && !ended) {
                                untilConnected.forEach(Runnable::run);
                            } else {
                                end();
                            }
                        });
    }

    int open() {
        return open.size();
    }

    boolean idleSince(double then) {
        return open.isEmpty() && connected && lastUsed < then;
    }

    /** Sends a request, now or once connected. */
    void send(Map<String, String> fields, byte[] body, Waiter waiter, double nowMillis) {
        lastUsed = nowMillis;
        numbers = numbers % LARGEST_NUMBER + 1;
        int number = numbers;
        open.put(number, waiter);
        if (connected) {
            write(number, fields, body, waiter);
        } else {
            untilConnected.add(() -> write(number, fields, body, waiter));
        }
    }

    private void write(int number, Map<String, String> fields, byte[] body, Waiter waiter) {
        channel.writeAndFlush(Wire.request(channel.alloc(), number, fields, body));
        waiter.sent();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            List<Waiter> waiters = List.copyOf(open.values());
            open.clear();
            onEnd.accept(this);
            double at = world.closedAt(local);
            waiters.forEach(w -> w.lost(connected, at));
        }
    }

    /** Reads answers. */
    private final class Records extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record) {
            int type = record.getUnsignedByte(1);
            int number = record.getUnsignedShort(2);
            int length = record.getUnsignedShort(4);
            if (record.readableBytes() != Wire.HEADER + length) {
                // Padding is not what this gateway writes: the framing is lost.
                ctx.close();
            } else if (type == Wire.STDOUT) {
                partial.computeIfAbsent(number, n -> new StringBuilder())
                        .append(record.toString(Wire.HEADER, length, StandardCharsets.ISO_8859_1));
            } else if (type == Wire.END_REQUEST) {
                StringBuilder text = partial.remove(number);
                Waiter waiter = open.remove(number);
                if (waiter != null) {
                    waiter.answered(Wire.Response.read(text == null ? "" : text.toString()));
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
