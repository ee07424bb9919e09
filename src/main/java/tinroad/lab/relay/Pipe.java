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
 * One stream through a relay, both directions, on one event loop. What a cut holds, the end of a
 * stream included, goes on once it has healed, as in a network that delivers late; no other bytes
 * are lost than those of a reset or a mute.
 */
final class Pipe {
    /** Bytes held for one direction before the source is read no more. */
    private static final int MOST_HELD = 256 * 1024;

    private final LinkFaults faults;
    private final Channel near;
    private final boolean changesBytes;
    private Channel far;
    private final Direction in = new Direction(LinkDirection.IN);
    private final Direction out = new Direction(LinkDirection.OUT);
    private final Runnable connect;
    private final Runnable onFarClosed;
    private boolean connecting;

    /**
     * A stream that was accepted as {@code near}; {@code connect} opens the other end, and {@code
     * onFarClosed} hears of its end.
     */
    Pipe(
            LinkFaults faults,
            Channel near,
            boolean changesBytes,
            Runnable connect,
            Runnable onFarClosed) {
        this.onFarClosed = onFarClosed;
        this.faults = faults;
        this.near = near;
        this.changesBytes = changesBytes;
        this.connect = connect;
    }

    /** Begins: a connection needs both directions, and waits for them. */
    void begin() {
        faults.opened(this);
        near.closeFuture().addListener(closed -> faults.closed(this));
        if (faults.hasEither(FaultAction.RESET) || faults.hasEither(FaultAction.REFUSE)) {
            reset();
        } else {
            connectIfFree();
        }
    }

    private void connectIfFree() {
        if (!connecting
                && near.isActive()
                && !faults.hasEither(FaultAction.CUT)
                && !faults.hasEither(FaultAction.MUTE)) {
            connecting = true;
            connect.run();
        } else if (!connecting && faults.hasEither(FaultAction.MUTE)) {
            near.config().setAutoRead(true);
        }
    }

    /** The other end is there. */
    void connected(Channel channel) {
        if (!near.isOpen()) {
            // Reset while this end was on its way: it sees the reset, too, and no orderly end.
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
        in.pump();
        out.pump();
    }

    /** The faults have changed. */
    void changed() {
        near.eventLoop()
                .execute(
                        () -> {
                            connectIfFree();
                            in.healed();
                            out.healed();
                        });
    }

    /** Both ends see a reset. */
    void reset() {
        near.eventLoop()
                .execute(
                        () -> {
                            in.drop();
                            out.drop();
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

    /** What reads one end. */
    ChannelInboundHandlerAdapter end(boolean isNear) {
        Direction direction = isNear ? in : out;
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                direction.take((ByteBuf) msg);
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                    direction.ended(false);
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                direction.ended(true);
            }

            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                (isNear ? out : in).readIfRoom();
            }

            /** A reset at one end is one at the other: later, where the link is cut. */
            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                direction.aborted = true;
                ctx.close();
            }
        };
    }

    /** One direction. */
    private final class Direction {
        private final LinkDirection way;
        private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
        private final ArrayDeque<Runnable> delayed = new ArrayDeque<>();
        private Channel from;
        private Channel to;
        private int bytes;
        private boolean halted;
        private boolean inputEnded;
        private boolean closed;
        private boolean aborted;
        private double freeAt;

        Direction(LinkDirection way) {
            this.way = way;
        }

        void take(ByteBuf buf) {
            if (faults.has(FaultAction.MUTE, way)) {
                buf.release();
                return;
            }
            if (changesBytes && way == LinkDirection.IN && buf.readableBytes() > 1) {
                int last = buf.writerIndex() - 1 - buf.readableBytes() / 8;
                buf.setByte(last, buf.getByte(last) ^ 1);
            }
            held.add(buf);
            bytes += buf.readableBytes();
            pump();
            readIfRoom();
        }

        void ended(boolean whole) {
            if (!inputEnded && way == LinkDirection.OUT) {
                onFarClosed.run();
            }
            inputEnded = true;
            closed |= whole;
            pump();
        }

        void healed() {
            halted &= faults.has(FaultAction.HALF, way);
            pump();
            readIfRoom();
        }

        void readIfRoom() {
            if (from != null && from.isOpen()) {
                from.config().setAutoRead(bytes < MOST_HELD && to.isWritable());
            }
        }

        void drop() {
            held.forEach(ByteBuf::release);
            held.clear();
            bytes = 0;
        }

        void pump() {
            if (to == null || halted || faults.cut(way)) {
                return;
            }
            while (!held.isEmpty() && !halted) {
                ByteBuf next = held.peek();
                if (faults.has(FaultAction.HALF, way)) {
                    halted = true;
                    int half = next.readableBytes() / 2;
                    bytes -= half;
                    write(next.readRetainedSlice(half));
                } else {
                    bytes -= next.readableBytes();
                    write(held.poll());
                }
            }
            if (held.isEmpty() && inputEnded) {
                later(this::finish);
            }
        }

        private void write(ByteBuf buf) {
            double rate = faults.rate(way);
            double delay = faults.delay(way, ThreadLocalRandom.current().nextDouble());
            double nowMillis = System.nanoTime() / 1e6;
            // Order is kept: nothing overtakes what was delayed before.
            freeAt =
                    Math.max(freeAt, nowMillis + delay)
                            + (rate == Double.POSITIVE_INFINITY ? 0 : buf.readableBytes() / rate);
            later(() -> to.writeAndFlush(buf));
        }

        private void later(Runnable task) {
            double wait = freeAt - System.nanoTime() / 1e6;
            if (wait <= 0 && delayed.isEmpty()) {
                task.run();
            } else {
                // Whichever timer fires first, the first in the row goes: timers of one moment come
                // in no order.
                delayed.add(task);
                to.eventLoop()
                        .schedule(
                                () -> delayed.remove().run(),
                                (long) (Math.max(0, wait) * 1e6),
                                TimeUnit.NANOSECONDS);
            }
        }

        private void finish() {
            if (aborted) {
                abort(to);
            } else if (closed) {
                to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else if (to instanceof DuplexChannel duplex
                    && to.isActive()
                    && !duplex.isOutputShutdown()) {
                duplex.shutdownOutput();
            }
        }
    }
}
