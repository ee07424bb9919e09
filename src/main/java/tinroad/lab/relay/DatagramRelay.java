package tinroad.lab.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.LinkDirection;

/**
 * Forwards datagrams from one address to another. Loses, repeats, delays or reorders them according
 * to the faults of its link.
 */
public final class DatagramRelay {
    private final LinkFaults faults;
    private final InetSocketAddress targetAddress;
    private final SplittableRandom random;
    private ByteBuf postponed;

    private DatagramRelay(LinkFaults faults, InetSocketAddress targetAddress, long seed) {
        this.faults = faults;
        this.targetAddress = targetAddress;
        random = new SplittableRandom(seed);
    }

    /**
     * Opens a relay from {@code listenAddress} to {@code targetAddress}; blocks until the socket is
     * bound.
     */
    public static void open(
            EventLoopGroup group,
            InetSocketAddress listenAddress,
            InetSocketAddress targetAddress,
            LinkFaults faults,
            long seed)
            throws InterruptedException {
        DatagramRelay relay = new DatagramRelay(faults, targetAddress, seed);
        new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                relay.forward(ctx.channel(), packet.content().retainedDuplicate());
                            }

                            /** Ignored: datagrams to an unreachable receiver are lost. */
                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(listenAddress)
                .sync();
    }

    /** Forwards one datagram. All datagrams of a relay leave the gateway: direction OUT. */
    private void forward(Channel channel, ByteBuf content) {
        if (faults.isCut(LinkDirection.OUT)
                || random.nextDouble() < faults.chance(FaultAction.LOSE)) {
            content.release();
            return;
        }
        if (postponed == null && random.nextDouble() < faults.chance(FaultAction.REORDER)) {
            postponed = content;
            return;
        }
        if (random.nextDouble() < faults.chance(FaultAction.REPEAT)) {
            send(channel, content.retainedDuplicate());
        }
        send(channel, content);
        if (postponed != null) {
            send(channel, postponed);
            postponed = null;
        }
    }

    private void send(Channel channel, ByteBuf content) {
        double delayMillis = faults.delay(LinkDirection.OUT, random.nextDouble());
        DatagramPacket packet = new DatagramPacket(content, targetAddress);
        if (delayMillis <= 0) {
            channel.writeAndFlush(packet);
        } else {
            channel.eventLoop()
                    .schedule(
                            () -> channel.writeAndFlush(packet),
                            (long) (delayMillis * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }
}
