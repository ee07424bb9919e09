package tinroad.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * Controls after what time idle connections are closed: sooner while run latency or the number of
 * connections exceeds its calm baseline, so that clients with pools of reused connections leave a
 * slow server.
 */
final class IdleTimeoutControl {
    /** Idle timeout of a calm server. */
    private static final double CALM_MILLIS = 5000;

    /**
     * Floor of the timeout, as a share of the calm timeout. Below it the additional handshakes cost
     * more.
     */
    private static final double FLOOR_SHARE = 0.2;

    /**
     * Minimum timeout: an answer to a client and the client's next request may cross within this
     * time.
     */
    private static final double MIN_MILLIS = 100;

    /**
     * Share of the requests from clients seen within {@link #CALM_MILLIS} from which on the whole
     * calm timeout is used.
     */
    private static final double FULL_RETURNING_SHARE = 0.5;

    /** How strongly the timeout falls with the excess over the baseline. */
    private static final double EXCESS_GAIN = 2;

    /** Factor by which the timeout grows in a sweep when calm. */
    private static final double GROWTH_PER_SWEEP = 1.25;

    /**
     * Mean read delay of requests, as a share of their objectives, above which reads and handshakes
     * are taken to use up the cores.
     */
    private static final double LATE_READ_SHARE = 0.1;

    private final Settings settings;
    private final Actions actions;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ClassTable classes;
    private final LearnedStatistics learned;
    private final ArrivalStatistics arrivals;
    private final RequestQueue queue;
    private final DrainPolicy draining;

    /** When each client was last seen, in that order, the oldest first. */
    private final LinkedHashMap<Integer, Double> lastSeenMillis = new LinkedHashMap<>();

    private double timeoutMillis;
    private double calmConnections;
    private double calmSweeps;

    /** Floor of the timeout while reads and handshakes use up the cores. */
    private double lateReadFloorMillis;

    IdleTimeoutControl(
            Settings settings,
            Actions actions,
            ControllerClock clock,
            CoreUsage cores,
            ClassTable classes,
            LearnedStatistics learned,
            ArrivalStatistics arrivals,
            RequestQueue queue,
            DrainPolicy draining) {
        this.settings = settings;
        this.actions = actions;
        this.clock = clock;
        this.cores = cores;
        this.classes = classes;
        this.learned = learned;
        this.arrivals = arrivals;
        this.queue = queue;
        this.draining = draining;
        timeoutMillis = maxCalmMillis();
    }

    void start() {
        actions.setIdleTimeout(timeoutMillis);
    }

    void beginDraining() {
        timeoutMillis = floorMillis();
        actions.setIdleTimeout(timeoutMillis);
    }

    /**
     * Learns how many clients return while a calm server would keep their connection open; clients
     * that stay away for longer are removed.
     */
    void requestArrived(int caller, double nowMillis) {
        Iterator<Double> oldest = lastSeenMillis.values().iterator();
        while (oldest.hasNext() && oldest.next() < nowMillis - maxCalmMillis()) {
            oldest.remove();
        }
        learned.returningShare +=
                Smoothing.CALM_WEIGHT
                        * ((lastSeenMillis.remove(caller) != null ? 1 : 0)
                                - learned.returningShare);
        lastSeenMillis.put(caller, nowMillis);
    }

    /**
     * Adjusts the timeout, once per sweep. {@code connections} is the number of open connections,
     * NaN if unknown.
     */
    void adjust(double connections) {
        updateLateReadFloor();
        double excess = classes.slowdown() - 1;
        if (connections > 0 && clock.sinceStartMillis() > maxCalmMillis()) {
            if (calmSweeps == 0 || (cores.running() <= settings.cores() && queue.isEmpty())) {
                calmConnections +=
                        Math.max(Smoothing.CALM_WEIGHT, 1 / ++calmSweeps)
                                * (connections - calmConnections);
            }
            excess = Math.max(excess, connections / calmConnections - 1);
        }
        double targetMillis = calmMillis() / (1 + EXCESS_GAIN * Math.max(0, excess));
        double floorMillis = floorMillis();
        double minTimeoutMillis = Math.max(floorMillis, lateReadFloorMillis);
        double nextMillis =
                draining.isDraining()
                        ? floorMillis
                        : Math.max(
                                minTimeoutMillis,
                                Math.min(targetMillis, timeoutMillis * GROWTH_PER_SWEEP));
        if (nextMillis != timeoutMillis) {
            timeoutMillis = nextMillis;
            actions.setIdleTimeout(timeoutMillis);
        }
    }

    /**
     * Raises the floor of the timeout while requests are read late: the floor doubles up to the
     * clients' own timeout, and falls back slowly afterwards. It does not rise while the runs
     * themselves are slow, when the timeout shrinks.
     *
     * <p>This guards against overload in which reads and handshakes use up the cores, whatever
     * started it: every connection that is closed is opened again, while a full connection table
     * rejects clients at no cost. It may do harm where the clients that fill the table are not
     * those that send requests.
     */
    private void updateLateReadFloor() {
        double raisedFloorMillis =
                Math.max(
                        maxCalmMillis(),
                        Math.min(settings.clientIdleTimeoutMillis(), 2 * lateReadFloorMillis));
        lateReadFloorMillis =
                arrivals.readDelayShare() > LATE_READ_SHARE
                                && classes.slowdown() < 1 + 2 * LATE_READ_SHARE
                        ? raisedFloorMillis
                        : lateReadFloorMillis / GROWTH_PER_SWEEP;
    }

    /**
     * Timeout when calm: the more rarely clients return, the sooner their connections are closed.
     */
    private double calmMillis() {
        return Math.max(
                Math.min(MIN_MILLIS / FLOOR_SHARE, maxCalmMillis()),
                maxCalmMillis() * Math.min(1, learned.returningShare / FULL_RETURNING_SHARE));
    }

    private double floorMillis() {
        return Math.max(Math.min(MIN_MILLIS, maxCalmMillis()), FLOOR_SHARE * calmMillis());
    }

    private double maxCalmMillis() {
        return settings.clientIdleTimeoutMillis() > 0
                ? Math.min(CALM_MILLIS, settings.clientIdleTimeoutMillis())
                : CALM_MILLIS;
    }
}
