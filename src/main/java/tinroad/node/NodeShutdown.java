package tinroad.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.config.GatewayConfig;
import tinroad.core.Clock;
import tinroad.core.Gateway;
import tinroad.core.Timers;
import tinroad.discovery.LoadReporter;
import tinroad.fastcgi.FastCgiFrontend;
import tinroad.gossip.UdpTransport;

/**
 * Graceful shutdown of one gateway: when admission closes, when connections are closed, and when
 * the process may end. {@link #begin} is called on the thread that the shutdown notice arrives on,
 * the waits block their caller; everything else runs on the event loop.
 *
 * <p>The log lines, in their order:
 *
 * <ul>
 *   <li>"shutdown notice received before listening": no client could connect; nothing else follows.
 *   <li>"replaced by another process": a later process listens; this one does not wait for its exit
 *       time, and sends no more load reports.
 *   <li>"draining: N requests in flight, N ms left" (logger "gateway"): the notice is being
 *       handled; the ms are those until the exit time, which lies before the kill by the exit
 *       margin.
 *   <li>"controller: draining, shutdown in N ms" (logger "gateway"): the overload controller knows
 *       it too; it comes late or never if the engine has not been attached yet.
 *   <li>"drained": every request is answered and every connection closed, at the exit time or, if
 *       replaced, before; the state is saved and the process ends. If this line is missing, the
 *       time until the kill ran out with requests or connections left.
 * </ul>
 */
final class NodeShutdown {
    /**
     * Lower bound of the exit margin: the last part of the time until the kill, in which clients
     * take the last responses and the process ends.
     */
    private static final double MIN_EXIT_MARGIN_MILLIS = 200;

    /** The exit margin as a fraction of the time between notice and kill. */
    private static final double EXIT_MARGIN_FRACTION = 0.1;

    /**
     * Fraction of the grace period for which a notice may have been on its way from the system to
     * the thread that handles it.
     */
    private static final double NOTICE_DELAY_FRACTION = 0.1;

    /**
     * Upper bound of the exit margin and of the assumed delay of a notice: how late a process can
     * be does not grow with the time that it is given.
     */
    private static final double MAX_MARGIN_MILLIS = 500;

    /** How long before the end no new connection is accepted any more, and idle ones are closed. */
    private static final double CLOSE_LEAD_MILLIS = 250;

    private static final double EMPTY_POLL_MILLIS = 10;

    private static final Logger LOG = LoggerFactory.getLogger("server");

    private final GatewayConfig config;
    private final Clock clock;
    private final EventLoop loop;
    private final Timers timers;
    private final Gateway gateway;
    private final FastCgiFrontend frontend;
    private final LoadReporter reporter;

    /** Null where the gateway is not a member of a fleet. */
    private final UdpTransport gossip;

    private final StatePersistence persistence;
    private final CountDownLatch ended = new CountDownLatch(1);

    NodeShutdown(
            GatewayConfig config,
            Clock clock,
            EventLoop loop,
            Gateway gateway,
            FastCgiFrontend frontend,
            LoadReporter reporter,
            UdpTransport gossip,
            StatePersistence persistence) {
        this.config = config;
        this.clock = clock;
        this.loop = loop;
        this.timers = new LoopTimers(loop);
        this.gateway = gateway;
        this.frontend = frontend;
        this.reporter = reporter;
        this.gossip = gossip;
        this.persistence = persistence;
    }

    /** When a notice that is being handled now was sent at the latest, in ms; any thread. */
    double noticedAtMillis() {
        return Math.min(clock.nowMillis(), gateway.lastSeenAliveMillis());
    }

    /** Ends a gateway that never listened: no client has a request there. */
    void endBeforeListening() {
        LOG.info("shutdown notice received before listening");
        ended.countDown();
    }

    /**
     * Begins to drain; returns at once.
     *
     * @param replaced whether a later process of this gateway listens: this one ends as soon as it
     *     is empty, and the gateway stays in the service registry
     */
    void begin(double noticedAtMillis, boolean replaced) {
        loop.execute(
                () -> {
                    if (replaced) {
                        LOG.info("replaced by another process");
                        gateway.markReplaced();
                        reporter.stopReporting();
                        frontend.closeGracefully();
                        endOnceEmpty();
                    }
                    drain(noticedAtMillis);
                });
    }

    /** Blocks until everything is answered, at most until the process is killed anyway. */
    void awaitEndOrKill() {
        try {
            // Whichever comes first: past this time nothing is left to wait for.
            boolean unused = ended.await((long) config.stopMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks for this long at most; whether the gateway has ended. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    private void drain(double noticedAtMillis) {
        double exitAtMillis =
                noticedAtMillis
                        + Math.max(
                                0,
                                config.stopMillis()
                                        - Math.max(
                                                MIN_EXIT_MARGIN_MILLIS,
                                                Math.min(
                                                        MAX_MARGIN_MILLIS,
                                                        EXIT_MARGIN_FRACTION
                                                                * config.stopMillis())));
        // Guards the grace period against a notice that was handled late, as where the process
        // gets little of a core.
        double graceMillis = config.site().settings().rules().drainGraceMillis();
        gateway.beginDraining(
                noticedAtMillis - Math.min(MAX_MARGIN_MILLIS, NOTICE_DELAY_FRACTION * graceMillis),
                exitAtMillis);
        if (gossip != null) {
            gossip.leave();
        }
        double leftMillis = exitAtMillis - clock.nowMillis();
        timers.after(Math.max(0, leftMillis - CLOSE_LEAD_MILLIS), frontend::closeGracefully);
        timers.after(Math.max(0, leftMillis), this::endOnceEmpty);
    }

    private void endOnceEmpty() {
        if (gateway.allAnswered() && frontend.connections() == 0) {
            LOG.info("drained");
            persistence.save(gateway);
            ended.countDown();
        } else {
            timers.after(EMPTY_POLL_MILLIS, this::endOnceEmpty);
        }
    }
}
