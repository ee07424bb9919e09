package tinroad.lab.fake;

import java.util.Arrays;
import java.util.BitSet;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.script.Script.Selection;

/**
 * How one client proxy chooses a gateway, from what the roster, its checks and the answers told it.
 * Times in ms.
 */
public final class GatewaySelector {
    private final Selection choice;
    private final UniformRandomProvider random;
    private final boolean[] listed;
    private final boolean[] checkedBad;
    private final double[] awayUntil;
    private final int[] open;
    private int turn;

    /** A proxy that has so many gateways to choose from, all of them listed. */
    public GatewaySelector(Selection choice, int gateways, UniformRandomProvider random) {
        this.choice = choice;
        this.random = random;
        listed = new boolean[gateways];
        Arrays.fill(listed, true);
        checkedBad = new boolean[gateways];
        awayUntil = new double[gateways];
        open = new int[gateways];
        turn = random.nextInt(gateways);
    }

    /** The roster's news of a gateway reached this proxy. */
    public void listed(int gateway, boolean takesWork) {
        listed[gateway] = takesWork;
    }

    /** A health check ended. */
    public void checked(int gateway, boolean good) {
        checkedBad[gateway] = !good;
    }

    /** Advice to stay away from a gateway, which this proxy heeds. */
    public void avoidUntil(int gateway, double until) {
        awayUntil[gateway] = Math.max(awayUntil[gateway], until);
    }

    /** A try was sent there, or ended. */
    public void open(int gateway, int change) {
        open[gateway] += change;
    }

    /**
     * The gateway for the next try of a request about {@code subject}, or -1 where none of those
     * not {@code asked} is left.
     */
    public int next(double nowMillis, BitSet asked, int subject) {
        int best = -1;
        double least = Double.POSITIVE_INFINITY;
        turn = choice == Selection.TURN ? (turn + 1) % open.length : turn;
        for (int g = 0; g < open.length; g++) {
            if (takes(g, nowMillis, asked)) {
                double weight =
                        switch (choice) {
                            case TURN -> Math.floorMod(g - turn, open.length);
                            case LEAST -> open[g] + random.nextDouble();
                            // Rendezvous hashing: each subject has an order of its own over the
                            // gateways.
                            case SUBJECT -> mix(31L * subject + g);
                        };
                if (weight < least) {
                    least = weight;
                    best = g;
                }
            }
        }
        return best;
    }

    private boolean takes(int g, double nowMillis, BitSet asked) {
        return listed[g] && !checkedBad[g] && awayUntil[g] <= nowMillis && !asked.get(g);
    }

    /** Whether there is one for another try now. */
    public boolean left(double nowMillis, BitSet asked) {
        return IntStream.range(0, open.length).anyMatch(g -> takes(g, nowMillis, asked));
    }

    /**
     * When the first gateway that is listed takes requests again, by the advice heeded; infinite
     * where none is listed.
     */
    public double freeAt() {
        double first = Double.POSITIVE_INFINITY;
        for (int g = 0; g < open.length; g++) {
            if (listed[g] && !checkedBad[g]) {
                first = Math.min(first, awayUntil[g]);
            }
        }
        return first;
    }

    /** The finalizer of SplitMix64, as a number from 0 to 1. */
    private static double mix(long x) {
        long z = x * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return ((z ^ z >>> 31) >>> 11) * 0x1.0p-53;
    }
}
