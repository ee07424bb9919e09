package tinroad.admin;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles one connection of an operator: reads one request, writes its response and closes the
 * connection. Runs on the event loop.
 */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** A connection that is still open this long after it was opened is closed. */
    private static final long REQUEST_TIMEOUT_MILLIS = 5000;

    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final AdminRouter router;
    private Future<?> timeout;
    private boolean requestReceived;

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
        // A second request may have been sent together with the first; it is ignored, because the
        // connection closes after the first response.
        if (!requestReceived) {
            requestReceived = true;
            router.respond(request, response -> respond(ctx, response));
        }
    }

    private static void respond(ChannelHandlerContext ctx, FullHttpResponse response) {
        ChannelFuture unused = ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes this connection, and nothing else, on an exception. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.debug("admin request failed", cause);
        close(ctx);
    }

    /** Closes the connection; the result is ignored, because nothing is left to do on it. */
    private static void close(ChannelHandlerContext ctx) {
        ChannelFuture unused = ctx.close();
    }
}
