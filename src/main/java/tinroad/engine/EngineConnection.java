package tinroad.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Engine;
import tinroad.log.LogKeyValues;

/**
 * Handles one connection to the engine, from ATTACH to its end: reads events and passes each on
 * once. {@link EngineLink} decides which connection receives the commands. Runs on the event loop.
 */
final class EngineConnection extends SimpleChannelInboundHandler<ByteBuf>
        implements EngineEvent.Handler {
    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final EngineLink link;
    private final int attempt;
    private ChannelHandlerContext context;
    private boolean skipLogged;

    /** Creates the handler of the connection that this attempt to connect opens. */
    EngineConnection(EngineLink link, int attempt) {
        this.link = link;
        this.attempt = attempt;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        if (!link.isLatest(attempt)) {
            close(ctx);
            return;
        }
        link.onConnected();
        EngineCommands.attach(ctx, link.lastEventNumber());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
        EngineEvent event = EngineEvent.read(line, link.gaugeNames());
        if (event == null) {
            warnSkipped("not an event");
        } else if (link.isNew(event)) {
            event.dispatch(this);
        }
    }

    @Override
    public void onHello(EngineEvent.Hello event) {
        // HELLO may arrive on a connection that was abandoned for another address meanwhile.
        if (link.isLatest(attempt)) {
            link.attach(context, event);
        }
    }

    @Override
    public void onRunEnded(EngineEvent.RunEnded event) {
        link.listener()
                .onRunEnded(event.requestId(), event.outcome(), event.tookMillis(), event.result());
    }

    @Override
    public void onGauges(EngineEvent.GaugesRead event) {
        if (event.tag().equals(EngineLink.CATCH_UP_TAG) && link.isActive(context)) {
            link.listener().onCaughtUp();
        }
        link.listener().onGauges(event.tag(), event.gauges());
    }

    @Override
    public void onRejected(EngineEvent.Rejected event) {
        LogKeyValues.with(LOG.atDebug(), "request", event.requestId())
                .log("command rejected: {} {}", event.command(), event.requestId());
        if (event.command().equals(EngineProtocol.RUN)) {
            link.listener()
                    .onRunEnded(event.requestId(), Engine.RunOutcome.REJECTED, 0, event.body());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        link.onDisconnected(ctx, attempt);
    }

    /** Logs at most one skipped line for each connection, to limit the log. */
    private void warnSkipped(String reason) {
        if (!skipLogged) {
            skipLogged = true;
            LOG.warn("line skipped: {}", reason);
        }
    }

    /**
     * Handles all exceptions: a line that is too long is skipped; anything else closes the
     * connection, which is then opened again. The failure of a connection that another has replaced
     * is not logged.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            warnSkipped("too long");
        } else {
            if (link.isLatest(attempt)) {
                LogKeyValues.with(LOG.atWarn(), "engine", link.address())
                        .log("link failed: {}", cause.toString());
            }
            close(ctx);
        }
    }

    /**
     * Closes the connection. The result is ignored, because {@link #channelInactive} is called when
     * a connection ends.
     */
    static void close(ChannelHandlerContext ctx) {
        ChannelFuture unused = ctx.close();
    }
}
