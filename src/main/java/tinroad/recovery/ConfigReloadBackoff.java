package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * When to reload the configuration without a signal, while the engine is unreachable and may have
 * moved: guards against a SIGHUP that never came. Reloads grow rarer at the intervals of {@link
 * DecorrelatedJitterBackoff}, which keeps gateways that lost their engines at once out of step.
 * Times in ms. Owned by one thread.
 */
public final class ConfigReloadBackoff {
    /** The engine is unreachable this long before the first reload: links break all the time. */
    public static final double FIRST_MILLIS = 1000;

    /** The first reload is spread over this time. */
    public static final double SPREAD_MILLIS = 500;

    /** The longest interval between two reloads. */
    public static final double CAP_MILLIS = 8000;

    private final SplittableRandom random;
    private final DecorrelatedJitterBackoff backoff;
    private boolean engineLost;
    private double nextReloadMillis;

    /** Out of step with the reloads of any other name or seed. */
    public ConfigReloadBackoff(String name, long seed) {
        random = SeededRandom.of(name, seed);
        backoff = new DecorrelatedJitterBackoff(name, seed, FIRST_MILLIS, CAP_MILLIS);
    }

    /** Whether to reload now; to be called every few hundred ms. */
    public boolean due(double nowMillis, boolean engineReachable) {
        if (engineReachable) {
            engineLost = false;
            return false;
        }
        if (!engineLost) {
            engineLost = true;
            backoff.reset();
            nextReloadMillis = nowMillis + FIRST_MILLIS + random.nextDouble(SPREAD_MILLIS);
        }
        if (nowMillis < nextReloadMillis) {
            return false;
        }
        nextReloadMillis = nowMillis + backoff.nextMillis();
        return true;
    }
}
