package tinroad.overload;

import java.util.ArrayList;
import tinroad.overload.ClassStatistics.ClientTimeout;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * Estimates what earlier attempts have spent of a client's timeout. Fresh attempts of a class come
 * with one of a few usual timeouts, which differ between kinds of clients; a last attempt comes
 * with what remains of the deadline. A timeout longer than all usual ones shows what earlier
 * attempts have spent of the deadline, a shorter one what a server has spent.
 */
final class ClientTimeoutEstimator {
    /** Timeouts that differ by at most this share of the class's deadline count as the same. */
    private static final double SAME_TIMEOUT_SHARE = 0.01;

    /** Votes from which on a timeout counts as usual. */
    private static final double MIN_USUAL_VOTES = 5;

    private static final double MAX_VOTES = 20;

    /** Maximum number of timeouts stored for each class. */
    private static final int MAX_CLIENT_TIMEOUTS = 4;

    private final Settings settings;

    ClientTimeoutEstimator(Settings settings) {
        this.settings = settings;
    }

    /**
     * Returns what earlier attempts have spent, in ms, and learns from fresh ones. Guards against
     * work that is already late on arrival. Where requests carry no deadline, a marked retry is
     * assumed to have waited on another server, or to have stayed away for as long as its
     * Retry-After.
     */
    double spentMillis(
            Request request,
            RequestClass requestClass,
            ClassStatistics statistics,
            double nowMillis) {
        if (!settings.requestsCarryDeadline() || request.deadlineAtMillis() <= 0) {
            return request.retry()
                    ? Math.min(requestClass.objectiveMillis() / 2, settings.maxRetryAfterMillis())
                    : 0;
        }
        double timeoutMillis = request.deadlineAtMillis() - nowMillis + request.ageMillis();
        double nextUsualMillis = Double.MAX_VALUE;
        boolean anyUsual = false;
        for (ClientTimeout stored : statistics.clientTimeouts) {
            if (Math.abs(timeoutMillis - stored.timeoutMillis)
                    <= SAME_TIMEOUT_SHARE * requestClass.deadlineMillis()) {
                stored.votes = Math.min(MAX_VOTES, stored.votes + (request.retry() ? 0 : 1));
                return 0;
            }
            anyUsual |= stored.votes >= MIN_USUAL_VOTES;
            nextUsualMillis =
                    stored.votes >= MIN_USUAL_VOTES && stored.timeoutMillis > timeoutMillis
                            ? Math.min(nextUsualMillis, stored.timeoutMillis)
                            : nextUsualMillis;
        }
        if (!request.retry()) {
            addClientTimeout(statistics, timeoutMillis);
        }
        return anyUsual
                ? Math.max(
                        0, Math.min(nextUsualMillis, requestClass.deadlineMillis()) - timeoutMillis)
                : 0;
    }

    /**
     * Adds a new timeout if there is room; otherwise it displaces timeouts that are rarely seen.
     */
    private static void addClientTimeout(ClassStatistics statistics, double timeoutMillis) {
        if (statistics.clientTimeouts.size() < MAX_CLIENT_TIMEOUTS) {
            statistics.clientTimeouts =
                    statistics.clientTimeouts.isEmpty()
                            ? new ArrayList<>(MAX_CLIENT_TIMEOUTS)
                            : statistics.clientTimeouts;
            statistics.clientTimeouts.add(new ClientTimeout(timeoutMillis));
            return;
        }
        statistics.clientTimeouts.forEach(timeout -> timeout.votes -= 1.0 / MAX_CLIENT_TIMEOUTS);
        statistics.clientTimeouts.removeIf(timeout -> timeout.votes <= 0);
    }
}
