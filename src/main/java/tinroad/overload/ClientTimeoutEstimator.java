package tinroad.overload;

import java.util.ArrayList;
import tinroad.overload.ClassStatistics.ClientTimeout;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * What earlier attempts have spent of a client's timeout. Fresh attempts of a class come with one
 * of a few timeouts, as many as clients have habits; a last attempt comes with what remains of the
 * deadline. A timeout longer than all usual ones shows what earlier attempts have spent of the
 * deadline, a shorter one what a server has spent.
 */
final class ClientTimeoutEstimator {
    /** Timeouts this near, in parts of the class's deadline, are one. */
    private static final double SAME_SHARE = 0.01;

    /** Votes that make a timeout a usual one. */
    private static final double USUAL_VOTES = 5;

    private static final double MAX_VOTES = 20;

    /** Timeouts remembered for each class. */
    private static final int MAX_CLIENT_TIMEOUTS = 4;

    private final Settings settings;

    ClientTimeoutEstimator(Settings settings) {
        this.settings = settings;
    }

    /**
     * What earlier attempts have spent, in ms; learns from fresh ones. Guards against work that is
     * late on arrival. Where requests carry no deadline, a marked retry has waited elsewhere, or
     * stayed away for as long as it was asked.
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
        double nextMillis = Double.MAX_VALUE;
        boolean known = false;
        for (ClientTimeout usual : statistics.clientTimeouts) {
            if (Math.abs(timeoutMillis - usual.timeoutMillis)
                    <= SAME_SHARE * requestClass.deadlineMillis()) {
                usual.votes = Math.min(MAX_VOTES, usual.votes + (request.retry() ? 0 : 1));
                return 0;
            }
            known |= usual.votes >= USUAL_VOTES;
            nextMillis =
                    usual.votes >= USUAL_VOTES && usual.timeoutMillis > timeoutMillis
                            ? Math.min(nextMillis, usual.timeoutMillis)
                            : nextMillis;
        }
        if (!request.retry()) {
            addClientTimeout(statistics, timeoutMillis);
        }
        return known
                ? Math.max(0, Math.min(nextMillis, requestClass.deadlineMillis()) - timeoutMillis)
                : 0;
    }

    /** A new timeout displaces those that are seldom seen. */
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
