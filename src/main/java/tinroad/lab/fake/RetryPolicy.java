package tinroad.lab.fake;

import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.script.Script.Callers;
import tinroad.lab.verification.Try;

/**
 * Whether and when a client proxy tries a request again. What may run only once is repeated only
 * where it is proven that the last try never ran. Times in ms.
 */
public final class RetryPolicy {
    /** No other try. */
    public static final double NEVER = Double.POSITIVE_INFINITY;

    /** The shortest wait for a gateway that is free, where every one is avoided. */
    private static final double LEAST_WAIT = 10;

    private final Callers callers;
    private final boolean heeds;
    private final UniformRandomProvider random;

    /** The habits of one proxy. */
    public RetryPolicy(Callers callers, boolean heeds, UniformRandomProvider random) {
        this.callers = callers;
        this.heeds = heeds;
        this.random = random;
    }

    /** Whether this proxy heeds advice. */
    public boolean heeds() {
        return heeds;
    }

    /**
     * When to try again after {@code end}, or {@link #NEVER}.
     *
     * @param tries so far
     * @param until when nobody waits for the request any more
     * @param othersLeft whether a gateway is left that was not asked yet
     * @param last the refusal asked that no other gateway be tried
     */
    public double after(
            Try.Outcome end,
            boolean free,
            int tries,
            double nowMillis,
            double until,
            boolean othersLeft,
            boolean last) {
        boolean again =
                end != Try.Outcome.SERVED
                        && (free || end.provenUnrun())
                        && (callers.maxTries() == 0 || tries < callers.maxTries())
                        && !(last && heeds);
        if (!again) {
            return NEVER;
        }
        boolean walks =
                callers.triesNextAfterRejection() && othersLeft && end != Try.Outcome.FAILED;
        double at =
                walks
                        ? nowMillis
                        : nowMillis + callers.retryPauseMillis() * (0.5 + random.nextDouble());
        return at < until ? at : NEVER;
    }

    /**
     * When to look again for a gateway, as none can be chosen now; {@code freeAt} is when advice
     * next allows one.
     */
    public double wait(double nowMillis, double until, double freeAt) {
        double at =
                Math.min(
                        Math.max(freeAt, nowMillis + LEAST_WAIT),
                        nowMillis + callers.retryPauseMillis() * (0.5 + random.nextDouble()));
        return at < until ? at : NEVER;
    }
}
