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
 * Brings datagrams on from one address to another: loses, repeats, delays, swaps them, as its link
 * has it.
 */
public final class DatagramRelay {
    private final LinkFaults faults;
    private final InetSocketAddress to;
    private final SplittableRandom random;
    private ByteBuf swapped;

    private DatagramRelay(LinkFaults faults, InetSocketAddress to, long seed) {
        this.faults = faults;
        this.to = to;
        random = new SplittableRandom(seed);
    }

    /** A relay from {@code at} to {@code to}; blocks until it is open. */
    public static void open(
            EventLoopGroup group,
            InetSocketAddress at,
            InetSocketAddress to,
            LinkFaults faults,
            long seed)
            throws InterruptedException {
        DatagramRelay relay = new DatagramRelay(faults, to, seed);
        new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket packet) {
                                relay.bring(ctx.channel(), packet.content().retainedDuplicate());
                            }

                            /** Whoever is not there: datagrams get lost. */
                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {}
                        })
                .bind(at)
                .sync();
    }

    /** What comes here goes away from the gateway. */
    private void bring(Channel by, ByteBuf content) {
        if (faults.cut(LinkDirection.OUT)
                || random.nextDouble() < faults.chance(FaultAction.LOSE)) {
            content.release();
            return;
        }
        if (swapped == null && random.nextDouble() < faults.chance(FaultAction.REORDER)) {
            swapped = content;
            return;
        }
        if (random.nextDouble() < faults.chance(FaultAction.REPEAT)) {
            send(by, content.retainedDuplicate());
        }
        send(by, content);
        if (swapped != null) {
            send(by, swapped);
            swapped = null;
        }
    }

    private void send(Channel by, ByteBuf content) {
        double delay = faults.delay(LinkDirection.OUT, random.nextDouble());
        DatagramPacket packet = new DatagramPacket(content, to);
        if (delay <= 0) {
            by.writeAndFlush(packet);
        } else {
            by.eventLoop()
                    .schedule(
                            () -> by.writeAndFlush(packet),
                            (long) (delay * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }
}
