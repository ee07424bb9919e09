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

/**
 * One FastCGI connection of a client proxy. Requests are multiplexed under numbers; responses come
 * in any order.
 */
final class Connection {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int MAX_RECORD_BYTES = 70_000;
    private static final int MAX_REQUEST_NUMBER = 65_535;

    /** Is notified of what happens to one request. */
    interface ResponseListener {
        /** The request was written whole. */
        void sent();

        /** The complete response. */
        void answered(Wire.Response response);

        /**
         * The connection is gone.
         *
         * @param wasSent whether the request had been written
         * @param at when the other side closed the connection
         */
        void lost(boolean wasSent, double at);
    }

    private final LabContext context;
    private final Consumer<Connection> onEnd;
    private final Map<Integer, ResponseListener> pending = new HashMap<>();
    private final Map<Integer, StringBuilder> partialResponses = new HashMap<>();
    private final List<Runnable> queuedWrites = new ArrayList<>();
    private Channel channel;
    private InetSocketAddress localAddress;
    private boolean connected;
    private boolean ended;
    private int lastNumber;
    private double lastUsedMillis;

    /** Starts to connect; {@code onEnd} is called once, when the connection has ended. */
    Connection(
            LabContext context,
            InetSocketAddress from,
            InetSocketAddress to,
            Consumer<Connection> onEnd) {
        this.context = context;
        this.onEnd = onEnd;
        new Bootstrap()
                .group(context.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel ch) {
                                ch.pipeline()
                                        .addLast(
                                                new LengthFieldBasedFrameDecoder(
                                                        MAX_RECORD_BYTES, 4, 2, 2, 0),
                                                new RecordReader());
                            }
                        })
                .connect(to, from)
                .addListener(
                        (ChannelFuture future) -> {
                            channel = future.channel();
                            connected = future.isSuccess();
                            localAddress = (InetSocketAddress) channel.localAddress();
                            if (connected && !ended) {
                                queuedWrites.forEach(Runnable::run);
                            } else {
                                finish();
                            }
                        });
    }

    int openRequests() {
        return pending.size();
    }

    boolean isIdleSince(double sinceMillis) {
        return pending.isEmpty() && connected && lastUsedMillis < sinceMillis;
    }

    /** Sends a request, at once or when connected. */
    void send(
            Map<String, String> fields, byte[] body, ResponseListener listener, double nowMillis) {
        lastUsedMillis = nowMillis;
        lastNumber = lastNumber % MAX_REQUEST_NUMBER + 1;
        int number = lastNumber;
        pending.put(number, listener);
        if (connected) {
            write(number, fields, body, listener);
        } else {
            queuedWrites.add(() -> write(number, fields, body, listener));
        }
    }

    private void write(
            int number, Map<String, String> fields, byte[] body, ResponseListener listener) {
        channel.writeAndFlush(Wire.request(channel.alloc(), number, fields, body));
        listener.sent();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            List<ResponseListener> listeners = List.copyOf(pending.values());
            pending.clear();
            onEnd.accept(this);
            double at = context.closedAt(localAddress);
            listeners.forEach(listener -> listener.lost(connected, at));
        }
    }

    /** Reads the records of responses. */
    private final class RecordReader extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf record) {
            int type = record.getUnsignedByte(1);
            int number = record.getUnsignedShort(2);
            int length = record.getUnsignedShort(4);
            if (record.readableBytes() != Wire.HEADER + length) {
                // The gateway writes no padding, so the framing is wrong here.
                ctx.close();
            } else if (type == Wire.STDOUT) {
                partialResponses
                        .computeIfAbsent(number, n -> new StringBuilder())
                        .append(record.toString(Wire.HEADER, length, StandardCharsets.ISO_8859_1));
            } else if (type == Wire.END_REQUEST) {
                StringBuilder text = partialResponses.remove(number);
                ResponseListener listener = pending.remove(number);
                if (listener != null) {
                    listener.answered(Wire.Response.read(text == null ? "" : text.toString()));
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            finish();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
