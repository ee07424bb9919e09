package tinroad.admin;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection of an operator: one request, its response, and the end. On the event loop. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** A connection whose request is not complete by then is closed. */
    private static final long REQUEST_TIMEOUT_MILLIS = 5000;

    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final AdminRouter router;
    private Future<?> timeout;
    private boolean requested;

    AdminRequestHandler(AdminRouter router) {
        this.router = router;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        timeout =
                ctx.executor()
                        .schedule(() -> close(ctx), REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timeout.cancel(false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        // Guards against a second request that was sent with the first: the first one's response
        // ends the connection.
        if (!requested) {
            requested = true;
            ChannelFuture unused =
                    ctx.writeAndFlush(router.respond(request))
                            .addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Exceptions stop here: they cost this connection and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.debug("admin request failed", cause);
        close(ctx);
    }

    /** The result is knowingly dropped: nothing is left to do on this connection. */
    private static void close(ChannelHandlerContext ctx) {
        ChannelFuture unused = ctx.close();
    }
}
