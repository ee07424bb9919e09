package tinroad.lab.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;

/**
 * What the module's verdict on a tenant is worth where its requests are counted apart at many
 * places: the rate as the module keeps it, faded over its window, against what it allows beside
 * chance. By simulation with a fixed seed: requests come at random, and evenly to all places.
 */
final class Sharing {
    /** Requests judged for one figure: the standard error of a part is under 0.002. */
    private static final int JUDGED = 100_000;

    private static final int SETTLE = 2000;

    private final double window;
    private final double spread;

    /**
     * Over a window in ms, with so many spreads of chance allowed, as {@code
     * OverloadController.tenantWorth} has them.
     */
    Sharing(double window, double spread) {
        this.window = window;
        this.spread = spread;
    }

    /**
     * What becomes of a tenant's requests.
     *
     * @param over part of them that is judged beyond its share
     * @param worth what they count in the mean, where those beyond count nothing
     */
    record Verdict(double over, double worth) {}

    /**
     * Requests that a tenant of this rate a second sends within the window to one of so many
     * places.
     */
    double expected(double rate, double places) {
        return rate / places * window / 1000;
    }

    /**
     * Requests within the window that are allowed at one of so many places, those that chance may
     * add included.
     */
    double allowed(double quota, double places) {
        double expected = expected(quota, places);
        return expected + spread * Math.sqrt(expected);
    }

    /**
     * The verdict on one that has this quota a second over all places, and asks {@code times} as
     * much.
     */
    Verdict judge(double quota, double times, double places) {
        double fair = allowed(quota, places);
        double come = times * expected(quota, places);
        UniformRandomProvider random = Draw.stream(1, "sharing");
        double counted = come;
        double over = 0;
        double worth = 0;
        for (int i = -SETTLE; i < JUDGED; i++) {
            // The module counts a request before it judges it; strict functions: the same figures
            // on any machine.
            counted = counted * StrictMath.exp(StrictMath.log(1 - random.nextDouble()) / come) + 1;
            if (i >= 0) {
                over += counted > fair ? 1 : 0;
                worth += Math.min(1, fair / counted);
            }
        }
        return new Verdict(over / JUDGED, worth / JUDGED);
    }
}
