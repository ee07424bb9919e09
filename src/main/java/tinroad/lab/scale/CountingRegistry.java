package tinroad.lab.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import tinroad.lab.fake.RegistryEntries;

/**
 * A fake service registry that receives the load reports of all gateways, maintains its entries and
 * counts the traffic. Owned by its event loop; the counters are read on that loop.
 */
final class CountingRegistry {
    private static final double ENTRY_LIFETIME_MILLIS = 3000;

    private final RegistryEntries entries;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final Map<String, NetworkEmulator.TrafficCounter> trafficByGateway = new HashMap<>();
    private final NetworkEmulator.TrafficCounter totalTraffic =
            new NetworkEmulator.TrafficCounter();

    /** Creates a registry for up to this many gateways. */
    CountingRegistry(int maxGateways) {
        entries = new RegistryEntries(maxGateways, ENTRY_LIFETIME_MILLIS);
    }

    /** Starts receiving reports; blocks until the socket is bound. */
    void listen(EventLoop loop, InetSocketAddress address) throws InterruptedException {
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                String[] fields =
                                        packet.content()
                                                .toString(StandardCharsets.US_ASCII)
                                                .split(" ");
                                totalTraffic.add(packet);
                                trafficByGateway
                                        .computeIfAbsent(
                                                fields[1],
                                                n -> new NetworkEmulator.TrafficCounter())
                                        .add(packet);
                                entries.heard(
                                        indexByName.computeIfAbsent(
                                                fields[1], n -> indexByName.size()),
                                        fields[2].equals("on"),
                                        System.nanoTime() / 1e6);
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(address)
                .sync();
    }

    /**
     * Datagrams and bytes received so far, from one gateway or, where {@code name} is null, from
     * all.
     */
    long[] traffic(String name) {
        NetworkEmulator.TrafficCounter counter =
                name == null
                        ? totalTraffic
                        : trafficByGateway.getOrDefault(name, new NetworkEmulator.TrafficCounter());
        return new long[] {counter.datagrams, counter.bytes};
    }
}
