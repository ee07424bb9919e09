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
 * Shuts one gateway down gracefully: decides when admission closes, when connections are closed,
 * and when the process may end. {@link #begin} is called on the thread on which the shutdown notice
 * arrives, and the methods that wait block their caller; everything else runs on the event loop.
 *
 * <p>The log lines, in the order in which they appear:
 *
 * <ul>
 *   <li>"shutdown notice received before listening": no client could connect, so nothing else
 *       follows.
 *   <li>"replaced by another process": a newer process listens; this one does not wait for its exit
 *       time, and sends no more load reports.
 *   <li>"draining: N requests in flight, N ms left" (logger "gateway"): the notice is being
 *       handled. The ms are the time left until the exit time, which is the exit margin before the
 *       kill.
 *   <li>"controller: draining, shutdown in N ms" (logger "gateway"): the overload controller was
 *       notified too. This line comes late or never if the engine has not been attached yet.
 *   <li>"N connections left open by their clients": clients did not read their responses, or did
 *       not close their side, until shortly before the kill; the process ends all the same.
 *   <li>"drained": every request is answered and every connection is closed or left open by its
 *       client, at the exit time or, if the process was replaced, before it; the state is saved and
 *       the process ends. If this line is missing, requests were left at the kill.
 * </ul>
 */
final class NodeShutdown {
    /**
     * Lower bound of the exit margin, the last part of the time until the kill, in which clients
     * read the last responses and the process ends.
     */
    private static final double MIN_EXIT_MARGIN_MILLIS = 200;

    /** Exit margin as a fraction of the time between notice and kill. */
    private static final double EXIT_MARGIN_FRACTION = 0.1;

    /**
     * Assumed delay of a notice, from the operating system to the thread that handles it, as a
     * fraction of the grace period.
     */
    private static final double NOTICE_DELAY_FRACTION = 0.1;

    /**
     * Upper bound of the exit margin and of the assumed delay of a notice. How late a process runs
     * does not depend on how much time it is given, so both stop growing here.
     */
    private static final double MAX_MARGIN_MILLIS = 500;

    /**
     * Time before the exit time at which the listener closes, and from which on idle connections
     * are closed.
     */
    private static final double CLOSE_LEAD_MILLIS = 250;

    /** Time before the exit time from which on requests that begin are refused. */
    private static final double REFUSE_LEAD_MILLIS = 100;

    /** Time before the kill at which the process ends though clients keep connections open. */
    private static final double LAST_EXIT_LEAD_MILLIS = 100;

    /** Period of the check whether all requests are answered and all connections closed. */
    private static final double EMPTY_POLL_MILLIS = 10;

    private static final Logger LOG = LoggerFactory.getLogger("server");

    private final GatewayConfig config;
    private final Clock clock;
    private final EventLoop eventLoop;
    private final Timers timers;
    private final Gateway gateway;
    private final FastCgiFrontend frontend;
    private final LoadReporter reporter;

    /** Null if the gateway is not a member of a fleet. */
    private final UdpTransport gossip;

    private final StatePersistence persistence;
    private final CountDownLatch ended = new CountDownLatch(1);

    /** Whether a newer process listens; accessed on the event loop, as the next one. */
    private boolean replaced;

    /** When the process ends at the latest, in Unix ms. */
    private double exitAtMillis = Double.POSITIVE_INFINITY;

    /** When the process is killed, in Unix ms. */
    private double killAtMillis = Double.POSITIVE_INFINITY;

    NodeShutdown(
            GatewayConfig config,
            Clock clock,
            EventLoop eventLoop,
            Gateway gateway,
            FastCgiFrontend frontend,
            LoadReporter reporter,
            UdpTransport gossip,
            StatePersistence persistence) {
        this.config = config;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.timers = new LoopTimers(eventLoop);
        this.gateway = gateway;
        this.frontend = frontend;
        this.reporter = reporter;
        this.gossip = gossip;
        this.persistence = persistence;
    }

    /**
     * The time, in Unix ms, at which a shutdown notice that is handled now counts as sent: the
     * earliest possible one, as the process may have stalled since. May be called on any thread.
     */
    double noticedAtMillis() {
        return Math.min(clock.nowMillis(), gateway.lastSeenAliveMillis());
    }

    /** Ends a gateway that never listened, and so has no request of any client. */
    void endBeforeListening() {
        LOG.info("shutdown notice received before listening");
        ended.countDown();
    }

    /**
     * Starts draining; returns at once.
     *
     * @param noticedAtMillis when the shutdown notice counts as sent, in Unix ms
     * @param replaced whether a newer process of this gateway listens; then this one ends as soon
     *     as it has no request and no connection left, and no run of a keyed request whose result
     *     the other process may be asked for, and the gateway stays in the service registry
     */
    void begin(double noticedAtMillis, boolean replaced) {
        eventLoop.execute(
                () -> {
                    this.replaced = replaced;
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

    /** Blocks until the gateway has ended, but no longer than until the process is killed. */
    void awaitEndOrKill() {
        try {
            // The result is ignored: after the timeout the process is killed anyway.
            boolean unused = ended.await((long) config.stopMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks for at most this long; returns whether the gateway has ended. */
    boolean awaitEnd(long millis) throws InterruptedException {
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    private void drain(double noticedAtMillis) {
        killAtMillis = noticedAtMillis + config.stopMillis();
        exitAtMillis =
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
        // The notice counts as sent earlier by its assumed delay: where the process gets little of
        // a core it is handled late, which would lengthen the grace period.
        double graceMillis = config.site().settings().operatingLimits().drainGraceMillis();
        gateway.beginDraining(
                noticedAtMillis - Math.min(MAX_MARGIN_MILLIS, NOTICE_DELAY_FRACTION * graceMillis),
                exitAtMillis);
        if (gossip != null) {
            gossip.leave();
        }
        double leftMillis = exitAtMillis - clock.nowMillis();
        timers.after(Math.max(0, leftMillis - CLOSE_LEAD_MILLIS), frontend::closeGracefully);
        timers.after(Math.max(0, leftMillis - REFUSE_LEAD_MILLIS), frontend::refuseRequests);
        timers.after(Math.max(0, leftMillis), this::endOnceEmpty);
    }

    private void endOnceEmpty() {
        if (gateway.allAnswered() && !awaitsRun() && mayEnd()) {
            if (frontend.connections() > 0) {
                LOG.info("{} connections left open by their clients", frontend.connections());
            }
            LOG.info("drained");
            persistence.save(gateway);
            ended.countDown();
        } else {
            timers.after(EMPTY_POLL_MILLIS, this::endOnceEmpty);
        }
    }

    /**
     * Whether all connections are closed, or the kill is near: clients that do not read their
     * responses or do not close their side must not have the process killed.
     */
    private boolean mayEnd() {
        return frontend.isClosed() || clock.nowMillis() >= killAtMillis - LAST_EXIT_LEAD_MILLIS;
    }

    private boolean awaitsRun() {
        return replaced && clock.nowMillis() < exitAtMillis && gateway.hasKeyedRun();
    }
}
