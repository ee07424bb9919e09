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
 * Reports to the service registry that this gateway is running, and whether it admits requests. A
 * report is one UDP datagram without a reply. Owned by the event loop.
 */
public final class LoadReporter {
    /**
     * Mean interval between reports. The registry drops a gateway 3 s after its last report, and a
     * quarter of the datagrams may be lost. At this period a gateway is dropped only after a dozen
     * losses in a row, and a lost change is soon reported again.
     */
    private static final double PERIOD_MILLIS = 250;

    /**
     * Fraction of the period by which each interval may be longer or shorter, so that gateways that
     * started together do not report together.
     */
    private static final double JITTER = 0.2;

    // A report on the wire consists of "HERE", the gateway's name and its state.
    private static final String REPORT = "HERE ";
    private static final String ADMITS = " on";
    private static final String REJECTS = " off";

    private final EventLoop eventLoop;
    private final String gatewayName;
    private final JitteredInterval reportInterval;
    private InetSocketAddress registry;

    /** The socket; null before {@link #start}, replaced if it was closed. */
    private Channel channel;

    /** Whether {@link #report} was called, so that there is a state to report. */
    private boolean hasStateToReport;

    private boolean admitsRequests;
    private boolean stopped;

    /** Creates a reporter of gateway {@code gatewayName} to the registry at this address. */
    public LoadReporter(
            EventLoop eventLoop, InetSocketAddress registry, String gatewayName, long seed) {
        reportInterval = reportInterval(gatewayName, seed);
        this.eventLoop = eventLoop;
        this.registry = registry;
        this.gatewayName = gatewayName;
    }

    /** The intervals between the reports of a gateway with this name and seed. */
    public static JitteredInterval reportInterval(String gatewayName, long seed) {
        return new JitteredInterval(gatewayName, seed, PERIOD_MILLIS, JITTER);
    }

    /** Opens the socket; nothing is reported before the first {@link #report}. */
    public void start() {
        openSocket();
        scheduleNext();
    }

    private void openSocket() {
        // If the socket can't be bound, nothing is sent, and the next period opens another one.
        channel =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new ReplyDiscarder())
                        .bind(0)
                        .addListener(bindFuture -> send())
                        .channel();
    }

    private void scheduleNext() {
        // The future is not needed: reports continue for as long as the event loop runs.
        Future<?> unused =
                eventLoop.schedule(
                        this::reportPeriodically,
                        (long) (reportInterval.nextMillis() * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    private void reportPeriodically() {
        // Schedules the next report before this one, so that later reports follow even if this one
        // fails.
        scheduleNext();
        // A failed read closes the socket. Without a new one a serving gateway would be dropped
        // from the registry for good.
        if (!channel.isOpen()) {
            openSocket();
        }
        send();
    }

    /** Sends reports to this address from now on; if it is a new one, reports at once. */
    public void switchEndpoint(InetSocketAddress newRegistry) {
        if (!newRegistry.equals(registry)) {
            registry = newRegistry;
            send();
        }
    }

    /** Stops all reports, because another process of this gateway reports from now on. */
    public void stopReporting() {
        stopped = true;
    }

    /** Reports at once, and then periodically, whether the gateway admits requests. */
    public void report(boolean admits) {
        hasStateToReport = true;
        admitsRequests = admits;
        send();
    }

    private void send() {
        // A report before the socket is open would be lost, and the next one would come only after
        // a period; instead it is sent as soon as the socket is open.
        if (hasStateToReport && !stopped && channel != null && channel.isActive()) {
            String report = REPORT + gatewayName + (admitsRequests ? ADMITS : REJECTS);
            // The future is not needed: a datagram may be lost anyway, and the next report follows.
            Future<?> unused =
                    channel.writeAndFlush(
                            new DatagramPacket(
                                    ByteBufUtil.writeUtf8(channel.alloc(), report), registry));
        }
    }

    /** Discards all input, because reports have no reply. */
    private static final class ReplyDiscarder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        /**
         * Ignores the ICMP error with which the host of a stopped registry answers; the next report
         * is sent nevertheless.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}
