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
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import tinroad.recovery.JitteredInterval;

/** Reports to the roster that this gateway is there, and whether it takes work. */
public final class LoadReporter {
    /**
     * The roster forgets a gateway 3 s after its last report, and a quarter of the datagrams may be
     * lost: at this period a lapse takes a dozen losses in a row, and a change that is lost is told
     * again soon.
     */
    private static final double PERIOD_MS = 250;

    /**
     * So much more or less of it each time: gateways that started together must not report
     * together.
     */
    private static final double SPREAD = 0.2;

    private final EventLoop loop;
    private final String name;
    private InetSocketAddress roster;
    private final JitteredInterval reportInterval;
    private Channel channel;
    private boolean reporting;
    private boolean on;
    private boolean silent;

    /** Reports {@code name} to {@code roster}. */
    public LoadReporter(EventLoop loop, InetSocketAddress roster, String name, long seed) {
        reportInterval = reportInterval(name, seed);
        this.loop = loop;
        this.roster = roster;
        this.name = name;
    }

    /** The pace at which a gateway of this name and seed reports. */
    public static JitteredInterval reportInterval(String name, long seed) {
        return new JitteredInterval(name, seed, PERIOD_MS, SPREAD);
    }

    /** Opens the socket; nothing is reported before the first {@link #report}. */
    public void start() {
        open();
        again();
    }

    private void open() {
        channel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(ChannelHandlerContext ctx, Object msg) {
                                        ReferenceCountUtil.release(msg);
                                    }

                                    /**
                                     * A roster that is down answers with an ICMP error: the next
                                     * report is sent all the same.
                                     */
                                    @Override
                                    public void exceptionCaught(
                                            ChannelHandlerContext ctx, Throwable cause) {}
                                })
                        .bind(0)
                        .addListener(bound -> send())
                        .channel();
    }

    private void again() {
        loop.schedule(
                () -> {
                    // First: guards the reports to come against one that fails.
                    again();
                    // Guards a gateway that serves against leaving the list for good with its
                    // socket: a failed read closes it.
                    if (!channel.isOpen()) {
                        open();
                    }
                    send();
                },
                (long) (reportInterval.nextMillis() * 1e6),
                TimeUnit.NANOSECONDS);
    }

    /** Reports to another address from now on. */
    public void switchEndpoint(InetSocketAddress to) {
        if (!to.equals(roster)) {
            roster = to;
            send();
        }
    }

    /** Reports nothing more: another process speaks for this gateway now. */
    public void stopReporting() {
        silent = true;
    }

    /** Reports at once, and again and again, that the gateway takes work or does not. */
    public void report(boolean takesWork) {
        reporting = true;
        on = takesWork;
        send();
    }

    private void send() {
        // Guards against a report before the socket is open: it would be lost until the next
        // period.
        if (reporting && !silent && channel != null && channel.isActive()) {
            String report = "HERE " + name + (on ? " on" : " off");
            channel.writeAndFlush(
                    new DatagramPacket(ByteBufUtil.writeUtf8(channel.alloc(), report), roster));
        }
    }
}
