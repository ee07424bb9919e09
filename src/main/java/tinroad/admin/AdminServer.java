package tinroad.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import tinroad.core.Gateway;
import tinroad.fleet.Membership;

/**
 * The admin endpoint, an HTTP/1.1 server with one request per connection. Runs on the event loop
 * that owns the gateway.
 */
public final class AdminServer {
    /**
     * Upper bound of the operators' connections, and so of their file descriptors; above it the
     * oldest is closed for a new one.
     */
    static final int MAX_CONNECTIONS = 24;

    /** Upper bound of a request's body; no request needs one. */
    static final int MAX_BODY_BYTES = 4096;

    private final AdminRouter router;
    private final Set<Channel> openChannels = new LinkedHashSet<>();

    /** Creates the endpoint of a gateway of one process that is not a member of a fleet. */
    public AdminServer(Gateway gateway) {
        this(gateway, ordersOf(gateway), Optional::empty);
    }

    /** Returns orders that are carried out by this process alone. */
    private static EvacuationOrders ordersOf(Gateway gateway) {
        return (evacuate, done) -> {
            if (evacuate) {
                gateway.evacuate();
            } else {
                boolean unused = gateway.rejoin();
            }
            done.run();
        };
    }

    /**
     * Creates the endpoint of {@code gateway} and its membership, which is empty while the gateway
     * is not a member of a fleet.
     */
    public AdminServer(
            Gateway gateway, EvacuationOrders orders, Supplier<Optional<Membership>> membership) {
        router = new AdminRouter(gateway, orders, membership);
    }

    /** Starts to listen on the event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop eventLoop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                onOpened(channel);
                                channel.pipeline().addLast(handlers());
                            }
                        })
                .bind(address);
    }

    /** Creates the channel handlers of one connection of an operator. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY_BYTES, true),
            new AdminRequestHandler(router)
        };
    }

    /**
     * Registers a connection and closes the oldest one above the bound, so that clients that
     * connect and send nothing do not keep others out.
     */
    private void onOpened(Channel channel) {
        openChannels.add(channel);
        ChannelFuture unusedFuture =
                channel.closeFuture().addListener(closed -> openChannels.remove(channel));
        if (openChannels.size() > MAX_CONNECTIONS) {
            // The close listener above removes it from the set.
            ChannelFuture unused = openChannels.iterator().next().close();
        }
    }
}
