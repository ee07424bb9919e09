package tinroad.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import tinroad.state.SnapshotReadResult.RejectionReason;

/**
 * Which of the snapshots that were found is believed, and which life begins. The latest life's
 * latest snapshot counts, so that a process that was replaced, and wakes and writes, can't make
 * itself heard over the one that came after it.
 */
public final class SnapshotSelector {
    /** A clock may differ by this, in ms, from the one that a snapshot was saved by. */
    public static final double MAX_CLOCK_DIFFERENCE_MILLIS = 1000;

    /** A file and what it turned out to be. */
    public record Candidate(String file, SnapshotReadResult readResult) {}

    /** What the new life begins with. */
    public enum StartMode {
        /** With what an earlier life knew. */
        WARM,
        /** There was nothing: a first start. */
        FIRST,
        /** There was something, and nothing of it is believed. */
        COLD
    }

    /**
     * What was decided.
     *
     * @param snapshot what is believed, or null
     * @param lastLife the highest number of a life that is known to have been; the next one is
     *     higher
     * @param setAside files that are not believed, each with the reason in words; older snapshots
     *     are just history
     */
    public record Decision(
            StartMode startMode,
            Snapshot snapshot,
            long lastIncarnation,
            List<String> rejectedFiles) {}

    private SnapshotSelector() {}

    /**
     * Decides.
     *
     * @param name of this gateway
     * @param now Unix ms
     * @param oldest ms, the age beyond which nothing is believed
     * @param knownLife a life that is known from elsewhere to have been: from the markers, or from
     *     beside the folder; 0 if none
     * @param fenceLife the same from beside the folder only: what lies below it was rolled back
     */
    public static Decision select(
            List<Candidate> found,
            String name,
            double nowMillis,
            double oldest,
            long knownLife,
            long fenceLife) {
        List<String> setAside = new ArrayList<>();
        List<Snapshot> good = new ArrayList<>();
        long last = Math.max(knownLife, fenceLife);
        for (Candidate c : found) {
            SnapshotReadResult r = doubt(c.readResult, name, nowMillis, oldest, fenceLife);
            if (r.reason() == null) {
                good.add(r.snapshot());
            } else {
                setAside.add(
                        c.file
                                + ": "
                                + r.reason().name().toLowerCase(Locale.ROOT).replace('_', ' ')
                                + ": "
                                + r.text());
            }
            Snapshot any = c.readResult.snapshot();
            last =
                    any != null && any.name().equals(name)
                            ? Math.max(last, any.incarnation())
                            : last;
        }
        Snapshot best =
                good.stream()
                        .max(
                                Comparator.comparingLong(Snapshot::incarnation)
                                        .thenComparingLong(Snapshot::generation))
                        .orElse(null);
        StartMode begin =
                best != null
                        ? StartMode.WARM
                        : found.isEmpty() && last == 0 ? StartMode.FIRST : StartMode.COLD;
        return new Decision(begin, best, last, List.copyOf(setAside));
    }

    private static SnapshotReadResult doubt(
            SnapshotReadResult r, String name, double nowMillis, double oldest, long fenceLife) {
        Snapshot s = r.snapshot();
        if (s == null) {
            return r;
        }
        if (!s.name().equals(name)) {
            return SnapshotReadResult.not(RejectionReason.ANOTHERS, "it is of " + s.name());
        }
        if (s.savedAtMillis() > nowMillis + MAX_CLOCK_DIFFERENCE_MILLIS) {
            return SnapshotReadResult.not(
                    RejectionReason.FUTURE,
                    "saved "
                            + Math.round((s.savedAtMillis() - nowMillis) / 1000)
                            + " s from now: did the clock go back?");
        }
        if (nowMillis - s.savedAtMillis() > oldest) {
            return SnapshotReadResult.not(
                    RejectionReason.TOO_OLD,
                    "saved " + Math.round((nowMillis - s.savedAtMillis()) / 1000) + " s ago");
        }
        if (s.incarnation() < fenceLife) {
            return SnapshotReadResult.not(
                    RejectionReason.ROLLED_BACK,
                    "of life " + s.incarnation() + ", and there was life " + fenceLife);
        }
        return r;
    }
}
