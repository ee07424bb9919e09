package tinroad.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * After what time idle connections are closed: sooner while run latency or the number of
 * connections exceeds its calm baseline, so that clients with pools of reused connections leave a
 * lagging server.
 */
final class IdleTimeoutControl {
    /** Timeout of a calm server, from the source's test pool. */
    private static final double CALM_MILLIS = 5000;

    /** Floor, in parts of the calm timeout: sooner, and the handshakes cost more. */
    private static final double FLOOR_SHARE = 0.2;

    /** Least timeout: a client's answer and its next request may cross within this. */
    private static final double MIN_MILLIS = 100;

    /**
     * Part of the requests whose client was here within {@link #CALM_MILLIS} from which on the
     * whole of that time is used.
     */
    private static final double FULL_RETURNING_SHARE = 0.5;

    /** How fast the timeout falls with the excess over the baseline. */
    private static final double EXCESS_GAIN = 2;

    /** Its growth in a sweep when calm. */
    private static final double GROWTH_PER_SWEEP = 1.25;

    /**
     * Requests read this late, in parts of their objectives: reads and handshakes eat the cores.
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

    /** When each client was here, the one seen longest ago first. */
    private final LinkedHashMap<Integer, Double> lastSeenMillis = new LinkedHashMap<>();

    private double timeoutMillis;
    private double calmConnections;
    private double calmSweeps;

    /** Floor of the timeout while reads and handshakes eat the cores. */
    private double keepOpenMillis;

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
        timeoutMillis = longestMillis();
    }

    void start() {
        actions.setIdleTimeout(timeoutMillis);
    }

    void beginDraining() {
        timeoutMillis = floorMillis();
        actions.setIdleTimeout(timeoutMillis);
    }

    /**
     * Learns how many clients come back while a calm server would keep their connection; the rest
     * are forgotten.
     */
    void requestArrived(int caller, double nowMillis) {
        Iterator<Double> oldest = lastSeenMillis.values().iterator();
        while (oldest.hasNext() && oldest.next() < nowMillis - longestMillis()) {
            oldest.remove();
        }
        learned.returningShare +=
                Smoothing.CALM_WEIGHT
                        * ((lastSeenMillis.remove(caller) != null ? 1 : 0)
                                - learned.returningShare);
        lastSeenMillis.put(caller, nowMillis);
    }

    /** One sweep; {@code connections} that are open, NaN: unknown. */
    void adjust(double connections) {
        keepOpenWhileReadsAreLate();
        double excess = classes.slowdown() - 1;
        if (connections > 0 && clock.sinceStartMillis() > longestMillis()) {
            if (calmSweeps == 0 || (cores.running() <= settings.cores() && queue.isEmpty())) {
                calmConnections +=
                        Math.max(Smoothing.CALM_WEIGHT, 1 / ++calmSweeps)
                                * (connections - calmConnections);
            }
            excess = Math.max(excess, connections / calmConnections - 1);
        }
        double targetMillis = calmMillis() / (1 + EXCESS_GAIN * Math.max(0, excess));
        double floorMillis = floorMillis();
        double leastMillis = Math.max(floorMillis, keepOpenMillis);
        double nextMillis =
                draining.isDraining()
                        ? floorMillis
                        : Math.max(
                                leastMillis,
                                Math.min(targetMillis, timeoutMillis * GROWTH_PER_SWEEP));
        if (nextMillis != timeoutMillis) {
            timeoutMillis = nextMillis;
            actions.setIdleTimeout(timeoutMillis);
        }
    }

    /**
     * Guards against overload in which reads and handshakes eat the cores, whatever began it: each
     * connection closed is opened anew, while a full table rejects clients for free. While requests
     * are read late the timeout doubles up to the clients' own, then falls back slowly; not while
     * runs are slow themselves, when it shrinks. May harm where the clients that fill the table are
     * not those that send requests.
     */
    private void keepOpenWhileReadsAreLate() {
        double longerMillis =
                Math.max(
                        longestMillis(), Math.min(settings.clientIdleMillis(), 2 * keepOpenMillis));
        keepOpenMillis =
                arrivals.readDelayShare() > LATE_READ_SHARE
                                && classes.slowdown() < 1 + 2 * LATE_READ_SHARE
                        ? longerMillis
                        : keepOpenMillis / GROWTH_PER_SWEEP;
    }

    /** Timeout when calm: the more seldom clients come back, the sooner their connections close. */
    private double calmMillis() {
        return Math.max(
                Math.min(MIN_MILLIS / FLOOR_SHARE, longestMillis()),
                longestMillis() * Math.min(1, learned.returningShare / FULL_RETURNING_SHARE));
    }

    private double floorMillis() {
        return Math.max(Math.min(MIN_MILLIS, longestMillis()), FLOOR_SHARE * calmMillis());
    }

    private double longestMillis() {
        return settings.clientIdleMillis() > 0
                ? Math.min(CALM_MILLIS, settings.clientIdleMillis())
                : CALM_MILLIS;
    }
}
