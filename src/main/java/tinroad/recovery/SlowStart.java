package tinroad.recovery;

/**
 * How much a gateway takes in after its engine has started: bounded by what the engine has shown so
 * far, never by the clock. It measures in windows: runs that ended a second, and how long they took
 * against their class. While the bound is what limits, a window without harm raises it by a step,
 * one with harm cuts it back to a part of what ended. It is over once the demand has stayed under
 * the bound, or once more room brings no more ends: then the engine has shown all that it has, at
 * whatever speed, and the module's own admission is enough. Times in ms, rates a second. Owned by
 * one thread.
 */
public final class SlowStart {
    /** What a gateway may do. */
    public enum Phase {
        /** Nothing has ended yet: a few runs at a time, to see. */
        COLD,
        /** The bound rises and falls with what is measured. */
        RAMPING,
        /** No bound. */
        FULL
    }

    /**
     * A window is at least this long, and has at least so many ends a core, or this long without
     * them.
     */
    private static final double WINDOW = 200;

    private static final int ENDS_PER_CORE = 3;
    private static final double LONGEST_WINDOW = 1000;

    /** Steps of the bound: up without harm, and what of the ends is left after harm. */
    private static final double STEP = 1.5;

    private static final double CUT = 0.85;

    /** Runs this much slower than the quickest lately, with no more of them ending, are harm. */
    private static final double HARM = 1.8;

    private static final double NO_MORE = 1.05;

    /**
     * Runs this much slower are harm whatever ends: a crowd has formed, and the ends come of what
     * was taken before.
     */
    private static final double CROWD = 3;

    /** The bound limits when this part of it was taken. */
    private static final double LIMITS = 0.85;

    /** Windows in a row under the bound that end the ramp. */
    private static final int QUIET = 5;

    /** Time in which more room brings no more ends by this factor: the engine has no more. */
    private static final double PLATEAU = 4000;

    private static final double MORE = 1.08;

    /** How fast the memory of the quickest runs fades, a window. */
    private static final double FADE = 1.02;

    private final int cores;
    private final double least;
    private Phase phase = Phase.COLD;
    private double rate;
    private double windowAt;
    private int taken;
    private int turnedAway;
    private int ends;
    private double stretch;
    private double quickest = Double.POSITIVE_INFINITY;
    private double endsBefore;
    private double best;
    private double bestAt;
    private int quiet;
    private String reason = "nothing has ended yet";

    /**
     * A ramp that begins at {@code now}.
     *
     * @param usualRun ms that a run is expected to take, by what is known before any has ended
     */
    public SlowStart(double nowMillis, int cores, double usualRun) {
        this.cores = cores;
        least = cores * 1000 / usualRun;
        rate = least;
        windowAt = nowMillis;
        bestAt = nowMillis;
    }

    /** A request came, and was taken in or turned away. */
    public void requestArrived(boolean in) {
        taken += in ? 1 : 0;
        turnedAway += in ? 0 : 1;
    }

    /** A run ended after {@code took} ms, where its class usually takes {@code usual}. */
    public void runCompleted(double nowMillis, double took, double usual) {
        ends++;
        stretch += took / usual;
        if (phase == Phase.COLD) {
            phase = Phase.RAMPING;
            bestAt = nowMillis;
        }
    }

    /** Time passes: ends a window that has seen enough. */
    public void tick(double nowMillis) {
        double length = nowMillis - windowAt;
        if (phase == Phase.FULL
                || length < WINDOW
                || (ends < ENDS_PER_CORE * cores && length < LONGEST_WINDOW)) {
            return;
        }
        double perSecond = ends * 1000 / length;
        boolean limits =
                turnedAway > 0
                        && taken * 1000 / length
                                >= LIMITS * Math.min(rate, taken * 1000 / length + rate / 10);
        if (ends == 0) {
            // Nothing ends: as little as at the start, until something does.
            rate = least;
            reason = "nothing ends";
            quiet = 0;
        } else {
            measured(nowMillis, perSecond, stretch / ends, limits);
        }
        windowAt = nowMillis;
        ends = 0;
        taken = 0;
        turnedAway = 0;
        stretch = 0;
    }

    private void measured(double nowMillis, double perSecond, double slow, boolean limits) {
        quickest = Math.min(quickest * FADE, slow);
        boolean harm =
                slow > CROWD * quickest
                        || (slow > HARM * quickest && perSecond < NO_MORE * endsBefore);
        if (perSecond > MORE * best) {
            best = perSecond;
            bestAt = nowMillis;
        }
        endsBefore = perSecond;
        if (harm) {
            rate = Math.max(least, CUT * perSecond);
            reason =
                    "runs take "
                            + Math.round(10 * slow / quickest) / 10.0
                            + " times as long as the quickest";
            quiet = 0;
        } else if (limits) {
            rate = Math.max(rate, perSecond) * STEP;
            reason = "runs end, and the bound limits";
            quiet = 0;
        } else {
            reason = "the demand is under the bound";
            quiet++;
        }
        if (quiet >= QUIET) {
            phase = Phase.FULL;
        } else if (nowMillis - bestAt > PLATEAU && best > 0) {
            phase = Phase.FULL;
            reason = "more room brings no more ends";
        }
    }

    /** The phase now. */
    public Phase phase() {
        return phase;
    }

    /** What may be taken in a second; infinite once it is over. */
    public double ratePerSecondLimit() {
        return phase == Phase.FULL ? Double.POSITIVE_INFINITY : rate;
    }

    /** Why the bound is what it is, for operators. */
    public String reason() {
        return reason;
    }
}
