package tinroad.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Engine;
import tinroad.core.Progress;
import tinroad.log.LogKeyValues;
import tinroad.recovery.DecorrelatedJitterBackoff;

/**
 * The link to the engine: attaches, tells its notices on, comes back after it broke, and moves to
 * another address. Commands go to one link at a time; what an earlier one still brings is read
 * until it ends.
 */
public final class EngineLink implements Engine {
    /** A line holds a result of 4 KiB in base64 and a few words; a longer one is skipped. */
    static final int LONGEST_LINE = 64 * 1024;

    private static final int MOST_UNFLUSHED = 64;
    private static final double FIRST_RETRY_MS = 1;
    private static final double LAST_RETRY_MS = 250;

    /**
     * The question that follows HELLO: its reply comes after all notices from before the link. No
     * timer's tag.
     */
    private static final String CATCH_UP = "catch-up";

    /**
     * So long an earlier link is still read once a new one has taken over, in ms; then it is
     * closed.
     */
    private static final long HAND_OVER_MS = 500;

    private static final JsonFactory JSON = new JsonFactory();
    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final EventLoop loop;
    private final List<String> gaugeNames;
    private InetSocketAddress address;
    private Listener listener;

    /** The link that commands go to: HELLO was read on it. Null while there is none. */
    private ChannelHandlerContext link;

    /**
     * Counts the attempts to connect: what an earlier one brings about decides nothing any more.
     */
    private int attempts;

    /**
     * Attached or, before the first time, connected: the engine may come up long after the gateway.
     */
    private volatile boolean engineReachable;

    private boolean attachedOnce;
    private long lastNotice;
    private final DecorrelatedJitterBackoff reconnects;

    /**
     * A link of gateway {@code name} to {@code address}, whose gauges come in the order of {@code
     * gaugeNames}.
     */
    public EngineLink(
            EventLoop loop,
            InetSocketAddress address,
            List<String> gaugeNames,
            String name,
            long seed) {
        reconnects = new DecorrelatedJitterBackoff(name, seed, FIRST_RETRY_MS, LAST_RETRY_MS);
        this.loop = loop;
        this.address = address;
        this.gaugeNames = gaugeNames;
    }

    /** Connects, and keeps connecting; {@code events} hears what the engine tells. */
    public void start(Listener events) {
        listen(events);
        connect();
    }

    /** Sets who hears what the engine tells. */
    public void listen(Listener events) {
        listener = events;
    }

    /**
     * Moves to another address. Commands wait until the engine answers there; the link to the old
     * address is read until then, so that no notice is missed.
     */
    public void switchEndpoint(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        LogKeyValues.with(LOG.atInfo(), "engine", to).log("moving to {}", to);
        reconnects.reset();
        leaveLink();
        connect();
    }

    /**
     * No command goes to the present link any more; it ends by itself, or once the next has taken
     * over.
     */
    private void leaveLink() {
        if (link != null) {
            ChannelHandlerContext old = link;
            link = null;
            engineReachable = false;
            loop.schedule(() -> closeOnceReplaced(old), HAND_OVER_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeOnceReplaced(ChannelHandlerContext old) {
        if (link != null) {
            old.close();
        } else if (old.channel().isActive()) {
            loop.schedule(() -> closeOnceReplaced(old), HAND_OVER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** What a connection to the engine is read with. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new LineBasedFrameDecoder(LONGEST_LINE), new Notices(attempts)
        };
    }

    /** Whether the engine is where it is looked for; any thread may ask. */
    public boolean engineReachable() {
        return engineReachable;
    }

    private void connect() {
        int attempt = ++attempts;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                // One write for all orders that one read of notices brings about:
                                // each is a call into the kernel.
                                channel.pipeline()
                                        .addLast(new FlushConsolidationHandler(MOST_UNFLUSHED));
                                channel.pipeline().addLast(handlers());
                            }
                        })
                .connect(address)
                .addListener(
                        (ChannelFuture done) -> {
                            if (!done.isSuccess()) {
                                // Where no descriptor is left there is no channel, and so no event
                                // loop: this is another thread.
                                loop.execute(() -> reconnect(attempt));
                            }
                        });
    }

    /**
     * Tries again, unless another attempt was made meanwhile: guards against two links that replace
     * each other.
     */
    private void reconnect(int after) {
        if (after == attempts) {
            loop.schedule(
                    () -> {
                        if (after == attempts) {
                            connect();
                        }
                    },
                    (long) (reconnects.nextMillis() * 1e6),
                    TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public Progress run(String id, String kind, ByteBuf body) {
        if (link == null) {
            return Progress.NOT_SENT;
        }
        send(
                link,
                json -> {
                    json.writeStringField("type", "RUN");
                    json.writeStringField("job", id);
                    json.writeStringField("kind", kind);
                    json.writeFieldName("data");
                    json.writeBinary(
                            new ByteBufInputStream(body.duplicate()), body.readableBytes());
                });
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        // Guards against an engine that has stopped reading: questions don't pile up.
        if (link == null || !link.channel().isWritable()) {
            return false;
        }
        send(
                link,
                json -> {
                    json.writeStringField("type", "STAT");
                    json.writeStringField("ref", tag);
                });
        return true;
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private static void send(ChannelHandlerContext to, Fields fields) {
        ByteBuf line = to.alloc().buffer();
        try (JsonGenerator json =
                JSON.createGenerator((OutputStream) new ByteBufOutputStream(line))) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            // Can't happen: the buffer is memory, and grows as needed.
            line.release();
            throw new UncheckedIOException(e);
        } catch (RuntimeException | OutOfMemoryError e) {
            line.release();
            throw e;
        }
        to.writeAndFlush(line, to.voidPromise());
    }

    /** One life of the link. */
    private final class Notices extends SimpleChannelInboundHandler<ByteBuf> {
        private final int attempt;
        private ChannelHandlerContext context;
        private boolean skippedBefore;

        Notices(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            if (attempt != attempts) {
                ctx.close();
                return;
            }
            engineReachable |= !attachedOnce;
            send(
                    ctx,
                    json -> {
                        json.writeStringField("type", "ATTACH");
                        json.writeNumberField("n", lastNotice);
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            EngineEvent notice = EngineEvent.read(line, gaugeNames);
            if (notice == null) {
                skipped("not a notice");
                return;
            }
            // Guards against notices told again after a new ATTACH: each counts once.
            if (notice.n() > 0) {
                if (notice.n() <= lastNotice) {
                    return;
                }
                lastNotice = notice.n();
            }
            tell(notice);
        }

        private void tell(EngineEvent notice) {
            switch (notice.type()) {
                case "HELLO" -> {
                    // Guards against the greeting of a link that was given up for another address
                    // meanwhile.
                    if (attempt == attempts) {
                        link = context;
                        attachedOnce = true;
                        engineReachable = true;
                        reconnects.reset();
                        requestGauges(CATCH_UP);
                        listener.onAttached(notice.state().equals("fresh"), notice.took());
                    }
                }
                case "DONE" ->
                        listener.onRunEnded(
                                notice.job(), notice.end(), notice.took(), notice.data());
                case "STATS" -> {
                    if (notice.ref().equals(CATCH_UP) && context == link) {
                        listener.onCaughtUp();
                    }
                    listener.onGauges(notice.ref(), notice.gauges());
                }
                case "NO" -> {
                    LogKeyValues.with(LOG.atDebug(), "request", notice.job())
                            .log("command not carried out: {} {}", notice.state(), notice.job());
                    if (notice.state().equals("RUN")) {
                        listener.onRunEnded(notice.job(), RunOutcome.REJECTED, 0, notice.data());
                    }
                }
                default -> {}
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx == link) {
                link = null;
                listener.onDetached();
            }
            if (link == null) {
                engineReachable = false;
            }
            reconnect(attempt);
        }

        /** Guards the log against a link that brings nothing else: one line for each link. */
        private void skipped(String why) {
            if (!skippedBefore) {
                skippedBefore = true;
                LOG.warn("line skipped: {}", why);
            }
        }

        /**
         * Exceptions stop here: a line too long is skipped, anything else costs the link, which
         * comes back. How a link ends that another has replaced is no news.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                skipped("too long");
            } else {
                if (attempt == attempts) {
                    LogKeyValues.with(LOG.atWarn(), "engine", address)
                            .log("link failed: {}", cause.toString());
                }
                ctx.close();
            }
        }
    }
}
