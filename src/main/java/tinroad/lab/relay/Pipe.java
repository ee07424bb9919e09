package tinroad.lab.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.LinkDirection;

/**
 * One stream through a relay, in both directions, on one event loop. The near end is the accepted
 * connection, the far end the one that the relay opens to the target. Data that a cut stops, and
 * the end of a stream as well, is forwarded after the cut ends, as in a network that delivers late.
 * Only a reset or a mute loses bytes.
 */
final class Pipe {
    /** Bytes buffered for one direction before reading from the source stops. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final LinkFaults faults;
    private final Channel near;
    private final boolean corruptsBytes;
    private Channel far;
    private final Direction in = new Direction(LinkDirection.IN);
    private final Direction out = new Direction(LinkDirection.OUT);
    private final Runnable connect;
    private final Runnable onFarClosed;
    private boolean connecting;

    /**
     * Creates the pipe of the accepted connection {@code near}. {@code connect} opens the far end;
     * {@code onFarClosed} is called when the far end has ended its output or closed.
     */
    Pipe(
            LinkFaults faults,
            Channel near,
            boolean corruptsBytes,
            Runnable connect,
            Runnable onFarClosed) {
        this.onFarClosed = onFarClosed;
        this.faults = faults;
        this.near = near;
        this.corruptsBytes = corruptsBytes;
        this.connect = connect;
    }

    /** Starts the pipe. A connection needs both directions and waits until both work. */
    void start() {
        faults.addPipe(this);
        near.closeFuture().addListener(done -> faults.removePipe(this));
        if (faults.isActiveInEitherDirection(FaultAction.RESET)
                || faults.isActiveInEitherDirection(FaultAction.REFUSE)) {
            reset();
        } else {
            connectIfAllowed();
        }
    }

    private void connectIfAllowed() {
        if (!connecting
                && near.isActive()
                && !faults.isActiveInEitherDirection(FaultAction.CUT)
                && !faults.isActiveInEitherDirection(FaultAction.MUTE)) {
            connecting = true;
            connect.run();
        } else if (!connecting && faults.isActiveInEitherDirection(FaultAction.MUTE)) {
            near.config().setAutoRead(true);
        }
    }

    /** The far end is connected. */
    void onConnected(Channel channel) {
        if (!near.isOpen()) {
            // The near end was reset while the far end connected: the far end sees a reset, too,
            // and no orderly end.
            abort(channel);
            return;
        }
        far = channel;
        in.to = far;
        out.to = near;
        in.from = near;
        out.from = far;
        near.config().setAutoRead(true);
        far.config().setAutoRead(true);
        in.forward();
        out.forward();
    }

    /** Continues or stops after a change of the active faults. */
    void onFaultsChanged() {
        near.eventLoop()
                .execute(
                        () -> {
                            connectIfAllowed();
                            in.onFaultsChanged();
                            out.onFaultsChanged();
                        });
    }

    /** Resets both ends. */
    void reset() {
        near.eventLoop()
                .execute(
                        () -> {
                            in.discardBuffers();
                            out.discardBuffers();
                            abort(near);
                            if (far != null) {
                                abort(far);
                            }
                        });
    }

    private static void abort(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Returns the handler that reads from the near or from the far end. */
    ChannelInboundHandlerAdapter handler(boolean isNear) {
        Direction direction = isNear ? in : out;
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                direction.onData((ByteBuf) msg);
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    direction.onEnd(false);
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                direction.onEnd(true);
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                (isNear ? out : in).readIfRoom();
            }

            /** Passes a reset on to the other end; while the link is cut, only after the cut. */
            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                direction.sourceReset = true;
                ctx.close();
            }
        };
    }

    /** Forwards the bytes of one direction. */
    private final class Direction {
        private final LinkDirection linkDirection;
        private final ArrayDeque<ByteBuf> buffers = new ArrayDeque<>();
        private final ArrayDeque<Runnable> delayedTasks = new ArrayDeque<>();
        private Channel from;
        private Channel to;
        private int bufferedBytes;
        private boolean halted;
        private boolean inputEnded;
        private boolean sourceClosed;
        private boolean sourceReset;
        private double nextSendMillis;

        Direction(LinkDirection linkDirection) {
            this.linkDirection = linkDirection;
        }

        void onData(ByteBuf buf) {
            if (faults.isActive(FaultAction.MUTE, linkDirection)) {
                buf.release();
                return;
            }
            if (corruptsBytes && linkDirection == LinkDirection.IN && buf.readableBytes() > 1) {
                int last = buf.writerIndex() - 1 - buf.readableBytes() / 8;
                buf.setByte(last, buf.getByte(last) ^ 1);
            }
            buffers.add(buf);
            bufferedBytes += buf.readableBytes();
            forward();
            readIfRoom();
        }

        void onEnd(boolean isClosed) {
            if (!inputEnded && linkDirection == LinkDirection.OUT) {
                onFarClosed.run();
            }
            inputEnded = true;
            sourceClosed |= isClosed;
            forward();
        }

        void onFaultsChanged() {
            halted &= faults.isActive(FaultAction.HALF, linkDirection);
            forward();
            readIfRoom();
        }

        void readIfRoom() {
            if (from != null && from.isOpen()) {
                from.config().setAutoRead(bufferedBytes < MAX_BUFFERED_BYTES && to.isWritable());
            }
        }

        void discardBuffers() {
            buffers.forEach(ByteBuf::release);
            buffers.clear();
            bufferedBytes = 0;
        }

        void forward() {
            if (to == null || halted || faults.isCut(linkDirection)) {
                return;
            }
            while (!buffers.isEmpty() && !halted) {
                ByteBuf next = buffers.peek();
                if (faults.isActive(FaultAction.HALF, linkDirection)) {
                    halted = true;
                    int half = next.readableBytes() / 2;
                    bufferedBytes -= half;
                    write(next.readRetainedSlice(half));
                } else {
                    bufferedBytes -= next.readableBytes();
                    write(buffers.poll());
                }
            }
            if (buffers.isEmpty() && inputEnded) {
                runInOrder(this::propagateEnd);
            }
        }

        private void write(ByteBuf buf) {
            double bytesPerMilli = faults.rate(linkDirection);
            double delayMillis =
                    faults.delay(linkDirection, ThreadLocalRandom.current().nextDouble());
            double nowMillis = System.nanoTime() / 1e6;
            // Nothing may overtake data that was delayed before.
            nextSendMillis =
                    Math.max(nextSendMillis, nowMillis + delayMillis)
                            + (bytesPerMilli == Double.POSITIVE_INFINITY
                                    ? 0
                                    : buf.readableBytes() / bytesPerMilli);
            runInOrder(() -> to.writeAndFlush(buf));
        }

        private void runInOrder(Runnable task) {
            double waitMillis = nextSendMillis - System.nanoTime() / 1e6;
            if (waitMillis <= 0 && delayedTasks.isEmpty()) {
                task.run();
            } else {
                // Each timer runs the oldest task: timers with equal deadlines fire in no defined
                // order.
                delayedTasks.add(task);
                to.eventLoop()
                        .schedule(
                                () -> delayedTasks.remove().run(),
                                (long) (Math.max(0, waitMillis) * 1e6),
                                TimeUnit.NANOSECONDS);
            }
        }

        private void propagateEnd() {
            if (sourceReset) {
                abort(to);
            } else if (sourceClosed) {
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else if (to instanceof DuplexChannel duplex
                    && to.isActive()
                    && !duplex.isOutputShutdown()) {
                duplex.shutdownOutput();
            }
        }
    }
}
