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
 * A roster that hears the reports of all, keeps its list, and counts. Owned by its event loop; read
 * once that stands still.
 */
final class RosterCounter {
    private static final double LAPSE = 3000;

    private final RegistryEntries list;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<String, ZoneWire.Count> byName = new HashMap<>();
    private final ZoneWire.Count all = new ZoneWire.Count();

    /** A roster of so many gateways at most. */
    RosterCounter(int gateways) {
        list = new RegistryEntries(gateways, LAPSE);
    }

    /** Hears reports; blocks until it does. */
    void listen(EventLoop loop, InetSocketAddress at) throws InterruptedException {
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                String[] words =
                                        packet.content()
                                                .toString(StandardCharsets.US_ASCII)
                                                .split(" ");
                                all.add(packet);
                                byName.computeIfAbsent(words[1], n -> new ZoneWire.Count())
                                        .add(packet);
                                list.heard(
                                        numbers.computeIfAbsent(words[1], n -> numbers.size()),
                                        words[2].equals("on"),
                                        System.nanoTime() / 1e6);
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(at)
                .sync();
    }

    /** Datagrams and bytes so far, of one gateway or, null, of all. */
    long[] counted(String name) {
        ZoneWire.Count c = name == null ? all : byName.getOrDefault(name, new ZoneWire.Count());
        return new long[] {c.datagrams, c.bytes};
    }
}
