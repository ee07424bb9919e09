package tinroad.lab.fake;

import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.script.Script.Callers;
import tinroad.lab.verification.Try;

/**
 * Decides whether and when a client proxy tries a request again. A request that may run only once
 * is repeated only where it is proven that the last try did not run. Times are in ms.
 */
public final class RetryPolicy {
    /** No further try. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** Minimum wait for an available gateway, where all are avoided. */
    private static final double MIN_WAIT_MILLIS = 10;

    private final Callers callers;
    private final boolean heedsAdvice;
    private final UniformRandomProvider random;

    /** Creates the policy of one proxy. */
    public RetryPolicy(Callers callers, boolean heedsAdvice, UniformRandomProvider random) {
        this.callers = callers;
        this.heedsAdvice = heedsAdvice;
        this.random = random;
    }

    /** Whether this proxy follows the advice in responses. */
    public boolean heedsAdvice() {
        return heedsAdvice;
    }

    /**
     * Returns when to try again after a try with outcome {@code end}, or {@link #NEVER}.
     *
     * @param free whether the request may run more than once
     * @param tries number of tries so far
     * @param deadlineMillis when the caller stops waiting for the request
     * @param othersLeft whether an available gateway has not been tried yet
     * @param noRetry whether the response asked that no other gateway be tried
     */
    public double nextTryMillis(
            Try.Outcome end,
            boolean free,
            int tries,
            double nowMillis,
            double deadlineMillis,
            boolean othersLeft,
            boolean noRetry) {
        boolean mayRetry =
                end != Try.Outcome.SERVED
                        && (free || end.provenUnrun())
                        && (callers.maxTries() == 0 || tries < callers.maxTries())
                        && !(noRetry && heedsAdvice);
        if (!mayRetry) {
            return NEVER;
        }
        boolean triesOtherGateway =
                callers.triesNextAfterRejection() && othersLeft && end != Try.Outcome.FAILED;
        double nextMillis =
                triesOtherGateway
                        ? nowMillis
                        : nowMillis + callers.retryPauseMillis() * (0.5 + random.nextDouble());
        return nextMillis < deadlineMillis ? nextMillis : NEVER;
    }

    /**
     * Returns when to search again for a gateway, as none can be chosen now, or {@link #NEVER}.
     *
     * @param nextAvailableMillis earliest time at which advice allows a gateway
     */
    public double nextSearchMillis(
            double nowMillis, double deadlineMillis, double nextAvailableMillis) {
        double nextMillis =
                Math.min(
                        Math.max(nextAvailableMillis, nowMillis + MIN_WAIT_MILLIS),
                        nowMillis + callers.retryPauseMillis() * (0.5 + random.nextDouble()));
        return nextMillis < deadlineMillis ? nextMillis : NEVER;
    }
}
