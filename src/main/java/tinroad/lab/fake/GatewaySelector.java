package tinroad.lab.fake;

import java.util.Arrays;
import java.util.BitSet;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.script.Script.Selection;

/**
 * Chooses gateways for one client proxy, by the updates of the registry, by its health checks and
 * by the advice in responses. Times are in ms.
 */
public final class GatewaySelector {
    private final Selection selection;
    private final UniformRandomProvider random;
    private final boolean[] listed;
    private final boolean[] checkFailed;
    private final double[] avoidUntilMillis;
    private final int[] openTries;
    private int cursor;

    /** Creates the selector of a proxy with this number of gateways, all of them listed. */
    public GatewaySelector(Selection selection, int gateways, UniformRandomProvider random) {
        this.selection = selection;
        this.random = random;
        listed = new boolean[gateways];
        Arrays.fill(listed, true);
        checkFailed = new boolean[gateways];
        avoidUntilMillis = new double[gateways];
        openTries = new int[gateways];
        cursor = random.nextInt(gateways);
    }

    /** An update of the registry about a gateway reached this proxy. */
    public void listed(int gateway, boolean takesWork) {
        listed[gateway] = takesWork;
    }

    /** A health check ended. */
    public void checked(int gateway, boolean good) {
        checkFailed[gateway] = !good;
    }

    /** Avoids a gateway until this time, as its response advised. */
    public void avoidUntil(int gateway, double until) {
        avoidUntilMillis[gateway] = Math.max(avoidUntilMillis[gateway], until);
    }

    /** Changes the number of open tries at a gateway. */
    public void addOpenTries(int gateway, int change) {
        openTries[gateway] += change;
    }

    /**
     * Returns the gateway for the next try of a request about {@code subject}, or -1 where every
     * available one is in {@code tried}.
     */
    public int next(double nowMillis, BitSet tried, int subject) {
        int best = -1;
        double minWeight = Double.POSITIVE_INFINITY;
        cursor = selection == Selection.TURN ? (cursor + 1) % openTries.length : cursor;
        for (int g = 0; g < openTries.length; g++) {
            if (isAvailable(g, nowMillis, tried)) {
                double weight =
                        switch (selection) {
                            case TURN -> Math.floorMod(g - cursor, openTries.length);
                            case LEAST -> openTries[g] + random.nextDouble();
                            // Rendezvous hashing: each subject has its own order of the gateways.
                            case SUBJECT -> hashToUnitInterval(31L * subject + g);
                        };
                if (weight < minWeight) {
                    minWeight = weight;
                    best = g;
                }
            }
        }
        return best;
    }

    private boolean isAvailable(int g, double nowMillis, BitSet tried) {
        return listed[g] && !checkFailed[g] && avoidUntilMillis[g] <= nowMillis && !tried.get(g);
    }

    /** Whether a gateway not in {@code tried} is available now. */
    public boolean hasAvailable(double nowMillis, BitSet tried) {
        return IntStream.range(0, openTries.length).anyMatch(g -> isAvailable(g, nowMillis, tried));
    }

    /**
     * Earliest time at which advice allows a gateway that is listed and healthy; infinite where
     * there is none.
     */
    public double nextAvailableMillis() {
        double earliest = Double.POSITIVE_INFINITY;
        for (int g = 0; g < openTries.length; g++) {
            if (listed[g] && !checkFailed[g]) {
                earliest = Math.min(earliest, avoidUntilMillis[g]);
            }
        }
        return earliest;
    }

    /** Hashes with the finalizer of SplitMix64 to a number from 0 to 1. */
    private static double hashToUnitInterval(long x) {
        long z = x * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return ((z ^ z >>> 31) >>> 11) * 0x1.0p-53;
    }
}
