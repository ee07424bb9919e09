package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * When to read the configuration again without being told to, as the engine is gone and may have
 * moved. Guards against a signal that never came: it then costs seconds and not the day. While the
 * engine stays away the readings grow rarer, at the gaps of {@link DecorrelatedJitterBackoff},
 * which keep the gateways of a fleet that all lost their engines at once out of step. Owned by the
 * thread that asks.
 */
public final class ConfigReloadBackoff {
    /**
     * So long, in ms, the engine is away before the first reading: links break and come back all
     * the time.
     */
    public static final double FIRST_MILLIS = 1000;

    /** The first reading is spread over this time, in ms. */
    public static final double SPREAD_MILLIS = 500;

    /** The longest time between two readings, in ms. */
    public static final double CAP_MILLIS = 8000;

    private final SplittableRandom random;
    private final DecorrelatedJitterBackoff gaps;
    private boolean gone;
    private double nextAt;

    /** Readings out of step with those of any other name or seed. */
    public ConfigReloadBackoff(String name, long seed) {
        random = SeededRandom.of(name, seed);
        gaps = new DecorrelatedJitterBackoff(name, seed, FIRST_MILLIS, CAP_MILLIS);
    }

    /**
     * Whether to read at {@code now}, in ms; asked again and again, {@code reached} telling whether
     * the engine is there.
     */
    public boolean due(double nowMillis, boolean reached) {
        if (reached) {
            gone = false;
            return false;
        }
        if (!gone) {
            gone = true;
            gaps.reset();
            nextAt = nowMillis + FIRST_MILLIS + random.nextDouble(SPREAD_MILLIS);
        }
        if (nowMillis < nextAt) {
            return false;
        }
        nextAt = nowMillis + gaps.nextMillis();
        return true;
    }
}
