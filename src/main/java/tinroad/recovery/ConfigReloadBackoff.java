package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * Decides when to reload the configuration without a signal. While the engine is unreachable, it
 * may have moved, and the SIGHUP for that may never have come. Reloads become rarer at the
 * intervals of {@link DecorrelatedJitterBackoff}, which keeps gateways that lost their engines at
 * once out of step. Times are in ms. An instance must be used by one thread only.
 */
public final class ConfigReloadBackoff {
    /**
     * How long, in ms, the engine is unreachable before the first reload, because links often break
     * for a short time; also the shortest interval between two reloads.
     */
    public static final double FIRST_DELAY_MILLIS = 1000;

    /** The time, in ms, over which the first reload is spread. */
    public static final double FIRST_SPREAD_MILLIS = 500;

    /** The longest interval between two reloads, in ms. */
    public static final double MAX_INTERVAL_MILLIS = 8000;

    private final SplittableRandom random;
    private final DecorrelatedJitterBackoff backoff;
    private boolean engineLost;
    private double nextReloadMillis;

    /** Creates a backoff that is out of step with that of any other name or seed. */
    public ConfigReloadBackoff(String name, long seed) {
        random = SeededRandom.of(name, seed);
        backoff =
                new DecorrelatedJitterBackoff(name, seed, FIRST_DELAY_MILLIS, MAX_INTERVAL_MILLIS);
    }

    /** Returns whether to reload now. It is to be called every few hundred ms. */
    public boolean due(double nowMillis, boolean engineReachable) {
        if (engineReachable) {
            engineLost = false;
            return false;
        }
        if (!engineLost) {
            engineLost = true;
            backoff.reset();
            nextReloadMillis =
                    nowMillis + FIRST_DELAY_MILLIS + random.nextDouble(FIRST_SPREAD_MILLIS);
        }
        if (nowMillis < nextReloadMillis) {
            return false;
        }
        nextReloadMillis = nowMillis + backoff.nextMillis();
        return true;
    }
}
