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
import java.util.Set;
import java.util.function.Supplier;
import tinroad.core.Gateway;
import tinroad.fleet.Membership;

/** The operators' door: HTTP/1.1, one call for each connection. */
public final class AdminServer {
    /**
     * Bounds the connections, and so the descriptors, that operators take: the oldest makes room
     * for a new one.
     */
    static final int MOST_OPEN = 24;

    /** Bounds the body of a call; none needs one. */
    static final int LONGEST_BODY = 4096;

    private final Gateway gateway;
    private final Supplier<Membership> fleet;
    private final Set<Channel> open = new LinkedHashSet<>();

    /** A door to {@code gateway}. */
    public AdminServer(Gateway gateway) {
        this(gateway, () -> null);
    }

    /**
     * A door to {@code gateway} and to what it knows of others; {@code fleet} tells null where it
     * speaks with nobody.
     */
    public AdminServer(Gateway gateway, Supplier<Membership> fleet) {
        this.gateway = gateway;
        this.fleet = fleet;
    }

    /** Begins to listen, on the one event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                opened(channel);
                                channel.pipeline().addLast(handlers());
                            }
                        })
                .bind(address);
    }

    /** What an operator's connection is read with. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new HttpServerCodec(),
            new HttpObjectAggregator(LONGEST_BODY, true),
            new AdminRequestHandler(gateway, fleet)
        };
    }

    /** Guards against callers that connect and say nothing: they never keep the others out. */
    private void opened(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        if (open.size() > MOST_OPEN) {
            open.iterator().next().close();
        }
    }
}
