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
 * Sends and receives the messages of a membership over UDP and drives its timers, on one event
 * loop. Whatever is received, it sends and reads only a bounded number of datagrams per second.
 */
public final class UdpTransport implements Membership.Transport {
    private static final Logger LOG = LoggerFactory.getLogger("fleet");
    private static final long TICK_MILLIS = 20;

    /**
     * A member of a fleet of a hundred sends a sixth of this while two fifths of all datagrams are
     * lost.
     */
    private static final int MAX_SENT_PER_SECOND = 300;

    private static final int MAX_READ_PER_SECOND = 1000;

    /** Minimum time between two log lines about a suspected partition. */
    private static final double PARTITION_LOG_INTERVAL_MILLIS = 5000;

    /** Maximum number of parsed addresses in the cache. */
    private static final int MAX_ADDRESSES = 4096;

    private final EventLoop loop;
    private final InetSocketAddress bindAddress;
    private final MessageCodec codec;
    private final DoubleSupplier clock;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private Channel channel;
    private Membership membership;
    private double secondStartMillis;
    private int sentInSecond;
    private int readInSecond;
    private boolean loggedPartition;
    private double partitionLoggedAtMillis;

    /**
     * Creates a transport; {@link #start} opens its socket.
     *
     * @param bindAddress to receive on
     * @param keys that sign datagrams, see {@link MessageCodec}
     * @param clock returns Unix time in ms that never decreases
     */
    public UdpTransport(
            EventLoop loop,
            InetSocketAddress bindAddress,
            List<byte[]> keys,
            DoubleSupplier clock) {
        this.loop = loop;
        this.bindAddress = bindAddress;
        this.clock = clock;
        codec = new MessageCodec(keys);
    }

    /**
     * Opens the socket and joins the fleet.
     *
     * @param name of this member
     * @param process number of this process, see {@link MemberIncarnation}
     * @param seeds addresses of members that are known from the start
     * @param seed of the random draws of the membership
     * @return succeeds once the socket is bound, or fails if it can't be bound
     */
    public ChannelFuture start(
            String name, String zone, long process, List<String> seeds, long seed) {
        return start(name, zone, process, seeds, seed, new ChannelHandler[0]);
    }

    /**
     * Opens the socket and joins the fleet, with extra handlers between the socket and this
     * transport. The lab uses them to count, drop and delay datagrams.
     */
    public ChannelFuture start(
            String name,
            String zone,
            long process,
            List<String> seeds,
            long seed,
            ChannelHandler... handlers) {
        ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new ChannelInitializer<NioDatagramChannel>() {
                                    @Override
                                    protected void initChannel(NioDatagramChannel datagrams) {
                                        datagrams
                                                .pipeline()
                                                .addLast(handlers)
                                                .addLast(new DatagramHandler());
                                    }
                                })
                        .bind(bindAddress);
        bound.addListener(
                completed -> {
                    if (completed.isSuccess()) {
                        channel = bound.channel();
                        join(name, zone, process, seeds, seed);
                    }
                });
        return bound;
    }

    /** The future of the timer is ignored: the timer ends with the event loop. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void join(String name, String zone, long process, List<String> seeds, long seed) {
        MemberUpdate self =
                new MemberUpdate(
                        name,
                        format((InetSocketAddress) channel.localAddress()),
                        zone,
                        new MemberIncarnation(process, 0, 0),
                        MemberStatus.ALIVE,
                        name);
        membership = new Membership(self, seeds, MembershipConfig.DEFAULT, seed, this);
        membership.start(clock.getAsDouble());
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("receiving on {}", self.address());
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            receive(packet);
        }

        /**
         * Ignores errors such as the ICMP error of a member that is gone: the failed probes of that
         * member show the same.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void tick() {
        double nowMillis = clock.getAsDouble();
        if (nowMillis - secondStartMillis >= 1000) {
            secondStartMillis = nowMillis;
            sentInSecond = 0;
            readInSecond = 0;
        }
        runAndLogFailure(() -> membership.tick(nowMillis));
        logPartition(nowMillis);
    }

    /** Logs at most once every few seconds, as the assumption changes often near its threshold. */
    private void logPartition(double nowMillis) {
        if (membership.suspectsPartition() != loggedPartition
                && nowMillis - partitionLoggedAtMillis >= PARTITION_LOG_INTERVAL_MILLIS) {
            partitionLoggedAtMillis = nowMillis;
            loggedPartition = membership.suspectsPartition();
            LOG.warn(
                    loggedPartition
                            ? "many members suspected at once: a network partition, or a restart"
                                    + " of many"
                            : "partition over: few members are suspected");
        }
    }

    private void receive(DatagramPacket packet) {
        // Protects the event loop: datagrams beyond the limit are dropped before they are verified.
        if (membership == null
                || ++readInSecond > MAX_READ_PER_SECOND
                || packet.content().readableBytes() > MessageCodec.MAX_DATAGRAM_BYTES) {
            return;
        }
        Message message = codec.read(ByteBufUtil.getBytes(packet.content()));
        if (message != null) {
            runAndLogFailure(
                    () ->
                            membership.receive(
                                    clock.getAsDouble(), format(packet.sender()), message));
        }
    }

    /**
     * Logs an exception of the membership, which would otherwise end the timer. The gateway
     * continues without its fleet.
     */
    private static void runAndLogFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("membership failed", e);
        }
    }

    /** The future of the write is ignored: the protocol tolerates lost datagrams. */
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void send(String address, Message message) {
        InetSocketAddress to = addresses.computeIfAbsent(address, UdpTransport::parse);
        if (addresses.size() > MAX_ADDRESSES) {
            addresses.remove(addresses.keySet().iterator().next());
        }
        if (to != null && ++sentInSecond <= MAX_SENT_PER_SECOND) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(codec.write(message)), to));
        }
    }

    /**
     * Parses a numeric address. Returns null for any other text: host names that come over the wire
     * are not resolved.
     */
    private static InetSocketAddress parse(String text) {
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
            LOG.debug("self: {} {}", after.status(), after.incarnation());
        } else if (after.status().isTerminal()) {
            LOG.info(
                    "{} {}, reported by {}",
                    after.name(),
                    after.status() == MemberStatus.LEFT ? "left" : "is dead",
                    after.by());
        } else if (before == null) {
            LOG.info("{} joined, incarnation {}", after.name(), after.incarnation().process());
        } else if (!after.incarnation().sameMembership(before.incarnation())) {
            LOG.info("{} rejoined, incarnation {}", after.name(), after.incarnation().process());
        } else {
            LOG.debug("{} {} by {}", after.name(), after.status(), after.by());
        }
    }

    /** Leaves the fleet, see {@link Membership#leave}. Does nothing before the socket is open. */
    public void leave() {
        if (membership != null) {
            membership.leave(clock.getAsDouble());
        }
    }

    /** The membership, or null before the socket is open. */
    public Membership membership() {
        return membership;
    }
}
