package tinroad.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Membership;
import tinroad.fleet.MembershipConfig;
import tinroad.fleet.Message;

/**
 * Brings a membership's messages over UDP, on the event loop; bounded in what it sends and reads,
 * whatever comes in.
 */
public final class UdpTransport implements Membership.Transport {
    private static final Logger LOG = LoggerFactory.getLogger("fleet");
    private static final long TICK_MS = 20;

    /**
     * Datagrams a second at most: what a member sends while a fleet of a hundred loses two fifths
     * of all is a sixth of it.
     */
    private static final int MOST_SENT = 300;

    private static final int MOST_READ = 1000;
    private static final double CUT_TOLD = 5000;
    private static final int MOST_ADDRESSES = 4096;

    private final EventLoop loop;
    private final InetSocketAddress at;
    private final MessageCodec datagrams;
    private final DoubleSupplier clock;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private Channel channel;
    private Membership membership;
    private double second;
    private int sent;
    private int read;
    private boolean cut;
    private double cutToldAt;

    /** A carrier that hears at this address; {@code clock} is Unix ms that never step back. */
    public UdpTransport(
            EventLoop loop, InetSocketAddress at, List<byte[]> keys, DoubleSupplier clock) {
        this.loop = loop;
        this.at = at;
        this.clock = clock;
        datagrams = new MessageCodec(keys);
    }

    /**
     * Opens the socket and begins, as this member that knows these addresses; on the event loop.
     */
    public ChannelFuture start(String name, String zone, long life, List<String> seeds, long seed) {
        return start(name, zone, life, seeds, seed, new ChannelHandler[0]);
    }

    /**
     * The same with handlers between the socket and this, for the lab: they count, lose and delay
     * what goes through.
     */
    public ChannelFuture start(
            String name,
            String zone,
            long life,
            List<String> seeds,
            long seed,
            ChannelHandler... between) {
        ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new ChannelInitializer<NioDatagramChannel>() {
                                    @Override
                                    protected void initChannel(NioDatagramChannel ch) {
                                        ch.pipeline().addLast(between).addLast(new Packets());
                                    }
                                })
                        .bind(at);
        bound.addListener(
                done -> {
                    if (done.isSuccess()) {
                        channel = bound.channel();
                        MemberUpdate self =
                                new MemberUpdate(
                                        name,
                                        text((InetSocketAddress) channel.localAddress()),
                                        zone,
                                        new MemberIncarnation(life, 0, 0),
                                        MemberStatus.ALIVE,
                                        name);
                        membership =
                                new Membership(self, seeds, MembershipConfig.DEFAULT, seed, this);
                        membership.start(clock.getAsDouble());
                        loop.scheduleAtFixedRate(
                                this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
                        LOG.info("hearing on {}", self.address());
                    }
                });
        return bound;
    }

    /** What the socket brings. */
    private final class Packets extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            heard(packet);
        }

        /** A member that is gone answers with an ICMP error: probes tell of it. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void tick() {
        double nowMillis = clock.getAsDouble();
        if (nowMillis - second >= 1000) {
            second = nowMillis;
            sent = 0;
            read = 0;
        }
        guarded(() -> membership.tick(nowMillis));
        // Told at most every few seconds: at the edge of it both follow each other quickly.
        if (membership.suspectsPartition() != cut && nowMillis - cutToldAt >= CUT_TOLD) {
            cutToldAt = nowMillis;
            cut = membership.suspectsPartition();
            LOG.warn(
                    cut
                            ? "many are silent together: a cut, or a restart of many"
                            : "healed: few are silent");
        }
    }

    private void heard(DatagramPacket packet) {
        // Guards the loop: what comes beyond this is not even checked.
        if (membership == null
                || ++read > MOST_READ
                || packet.content().readableBytes() > MessageCodec.MAX_DATAGRAM_BYTES) {
            return;
        }
        Message message = datagrams.read(ByteBufUtil.getBytes(packet.content()));
        if (message != null) {
            guarded(() -> membership.receive(clock.getAsDouble(), text(packet.sender()), message));
        }
    }

    /**
     * Guards against a fault of the decisions: the timer goes on, and the gateway without its
     * fleet.
     */
    private static void guarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            LOG.error("membership failed", e);
        }
    }

    @Override
    public void send(String address, Message message) {
        InetSocketAddress to = addresses.computeIfAbsent(address, UdpTransport::address);
        if (addresses.size() > MOST_ADDRESSES) {
            addresses.remove(addresses.keySet().iterator().next());
        }
        if (to != null && ++sent <= MOST_SENT) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(datagrams.write(message)), to));
        }
    }

    /** An address in numbers, or null: no name is looked up for what a stranger says. */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip =
                colon < 0
                        ? null
                        : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            return ip == null
                    ? null
                    : new InetSocketAddress(
                            InetAddress.getByAddress(ip),
                            Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            return null;
        }
    }

    @Override
    public void memberChanged(double nowMillis, MemberUpdate before, MemberUpdate after) {
        if (after.name().equals(membership.self().name())) {
            LOG.debug("of itself: {} {}", after.status(), after.incarnation());
        } else if (after.status().isTerminal()) {
            LOG.info(
                    "{} {}, says {}",
                    after.name(),
                    after.status() == MemberStatus.LEFT ? "left" : "is dead",
                    after.by());
        } else if (before == null) {
            LOG.info("{} joined, life {}", after.name(), after.incarnation().process());
        } else if (!after.incarnation().sameMembership(before.incarnation())) {
            LOG.info("{} is back, life {}", after.name(), after.incarnation().process());
        } else {
            LOG.debug("{} {} by {}", after.name(), after.status(), after.by());
        }
    }

    /** Says that this member leaves. */
    public void leave() {
        if (membership != null) {
            membership.leave(clock.getAsDouble());
        }
    }

    /** What is known, or null before the socket is open. */
    public Membership membership() {
        return membership;
    }
}
