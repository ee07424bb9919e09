package tinroad.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import tinroad.recovery.JitteredInterval;

/**
 * Reports to the service registry that this gateway is there, and whether it admits requests: one
 * UDP datagram for each report, without a reply. The event loop owns all of it.
 */
public final class LoadReporter {
    /**
     * The registry drops a gateway 3 s after its last report, and a quarter of the datagrams may be
     * lost: at this period it takes a dozen losses in a row to be dropped, and a change that is
     * lost is reported again soon.
     */
    private static final double PERIOD_MILLIS = 250;

    /**
     * Fraction of the period by which each interval is longer or shorter: gateways that started
     * together must not report together.
     */
    private static final double JITTER = 0.2;

    // The report on the wire: "HERE", the gateway's name, and its state.
    private static final String REPORT = "HERE ";
    private static final String ADMITS = " on";
    private static final String ADMITS_NOT = " off";

    private final EventLoop loop;
    private final String name;
    private final JitteredInterval reportInterval;
    private InetSocketAddress registry;

    /** Null before {@link #start}; replaced if it was closed. */
    private Channel channel;

    /** Whether there is anything to report yet. */
    private boolean reporting;

    private boolean admitsRequests;
    private boolean stopped;

    /** Reports of gateway {@code name} to the registry at this address. */
    public LoadReporter(EventLoop loop, InetSocketAddress registry, String name, long seed) {
        reportInterval = reportInterval(name, seed);
        this.loop = loop;
        this.registry = registry;
        this.name = name;
    }

    /** The intervals at which a gateway of this name and seed reports. */
    public static JitteredInterval reportInterval(String name, long seed) {
        return new JitteredInterval(name, seed, PERIOD_MILLIS, JITTER);
    }

    /** Opens the socket; nothing is reported before the first {@link #report}. */
    public void start() {
        open();
        scheduleNext();
    }

    private void open() {
        // Where it can't be bound, nothing is sent: the next period opens another.
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Discarding())
                        .bind(0)
                        .addListener(bound -> send())
                        .channel();
    }

    private void scheduleNext() {
        // Knowingly dropped: reports go on for as long as the event loop does.
        Future<?> unused =
                loop.schedule(
                        this::reportPeriodically,
                        (long) (reportInterval.nextMillis() * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    private void reportPeriodically() {
        // First: guards the reports to come against one that fails.
        scheduleNext();
        // Guards a gateway that serves against leaving the registry for good with its socket: a
        // failed read closes it.
        if (!channel.isOpen()) {
            open();
        }
        send();
    }

    /** Reports to another address from now on, at once if that is a new one. */
    public void switchEndpoint(InetSocketAddress to) {
        if (!to.equals(registry)) {
            registry = to;
            send();
        }
    }

    /** Reports nothing more: another process of this gateway reports from now on. */
    public void stopReporting() {
        stopped = true;
    }

    /** Reports at once, and then periodically, whether the gateway admits requests. */
    public void report(boolean admits) {
        reporting = true;
        admitsRequests = admits;
        send();
    }

    private void send() {
        // Guards against a report before the socket is open: it would be lost until the next
        // period.
        if (reporting && !stopped && channel != null && channel.isActive()) {
            String report = REPORT + name + (admitsRequests ? ADMITS : ADMITS_NOT);
            // Knowingly dropped: a datagram may be lost anyway, and the next report follows.
            Future<?> unused =
                    channel.writeAndFlush(
                            new DatagramPacket(
                                    ByteBufUtil.writeUtf8(channel.alloc(), report), registry));
        }
    }

    /** Ignores what comes in: reports have no reply. */
    private static final class Discarding extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        /**
         * A registry that is down answers with an ICMP error: the next report is sent all the same.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}
