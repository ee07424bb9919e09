package tinroad.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import tinroad.state.SnapshotReadResult.Rejected;
import tinroad.state.SnapshotReadResult.RejectionReason;

/**
 * Decides which of the available snapshots is restored, and how the new incarnation starts. It
 * selects the latest snapshot of the latest incarnation, so that a process that was suspended,
 * replaced and then resumed can't override its successor.
 */
public final class SnapshotSelector {
    /** Maximum difference from the clock that timestamped a snapshot. */
    public static final double MAX_CLOCK_DIFFERENCE_MILLIS = 1000;

    /** The name of a file, and the result of reading it. */
    public record Candidate(String file, SnapshotReadResult readResult) {}

    /** The state with which the new incarnation starts. */
    public enum StartMode {
        /** It restores a snapshot of an earlier incarnation. */
        WARM,
        /** There was no state: this is the first start. */
        FIRST,
        /** There was state, but all of it was rejected or is gone. */
        COLD
    }

    /**
     * The decision.
     *
     * @param snapshot that is restored, if any
     * @param lastIncarnation the highest incarnation that is known to have existed; the next one
     *     has to be higher
     * @param rejectedFiles one line for each rejected file, with its name and the reason; older
     *     valid snapshots are not listed
     */
    public record Decision(
            StartMode startMode,
            Optional<Snapshot> snapshot,
            long lastIncarnation,
            List<String> rejectedFiles) {}

    private SnapshotSelector() {}

    /**
     * Selects the snapshot to restore.
     *
     * @param name of this gateway
     * @param nowMillis Unix time
     * @param maxAgeMillis maximum age of a snapshot; an older one is rejected
     * @param markedIncarnation the highest incarnation known from the marker files, 0 if none
     * @param fencedIncarnation the last incarnation known from the fence outside the folder, 0 if
     *     none: snapshots of earlier ones are rejected as rolled back
     */
    public static Decision select(
            List<Candidate> candidates,
            String name,
            double nowMillis,
            double maxAgeMillis,
            long markedIncarnation,
            long fencedIncarnation) {
        List<String> rejectedFiles = new ArrayList<>();
        List<Snapshot> accepted = new ArrayList<>();
        long lastIncarnation = Math.max(markedIncarnation, fencedIncarnation);
        for (Candidate candidate : candidates) {
            SnapshotReadResult result =
                    validate(
                            candidate.readResult, name, nowMillis, maxAgeMillis, fencedIncarnation);
            if (result instanceof Rejected rejected) {
                rejectedFiles.add(candidate.file + ": " + rejected.description());
            }
            result.usable().ifPresent(accepted::add);
            // A snapshot of this gateway shows that its incarnation existed, even if it was
            // rejected.
            Optional<Snapshot> own =
                    candidate.readResult.usable().filter(found -> found.name().equals(name));
            if (own.isPresent()) {
                lastIncarnation = Math.max(lastIncarnation, own.get().incarnation());
            }
        }
        Optional<Snapshot> latest =
                accepted.stream()
                        .max(
                                Comparator.comparingLong(Snapshot::incarnation)
                                        .thenComparingLong(Snapshot::generation));
        StartMode startMode =
                latest.isPresent()
                        ? StartMode.WARM
                        : candidates.isEmpty() && lastIncarnation == 0
                                ? StartMode.FIRST
                                : StartMode.COLD;
        return new Decision(startMode, latest, lastIncarnation, List.copyOf(rejectedFiles));
    }

    private static SnapshotReadResult validate(
            SnapshotReadResult result,
            String name,
            double nowMillis,
            double maxAgeMillis,
            long fencedIncarnation) {
        return result.usable()
                .flatMap(
                        snapshot ->
                                rejection(
                                        snapshot, name, nowMillis, maxAgeMillis, fencedIncarnation))
                .map(SnapshotReadResult.class::cast)
                .orElse(result);
    }

    private static Optional<Rejected> rejection(
            Snapshot snapshot,
            String name,
            double nowMillis,
            double maxAgeMillis,
            long fencedIncarnation) {
        if (!snapshot.name().equals(name)) {
            return reject(
                    RejectionReason.OTHER_GATEWAY, "it belongs to gateway " + snapshot.name());
        }
        if (snapshot.savedAtMillis() > nowMillis + MAX_CLOCK_DIFFERENCE_MILLIS) {
            return reject(
                    RejectionReason.IN_FUTURE,
                    "saved "
                            + Math.round((snapshot.savedAtMillis() - nowMillis) / 1000)
                            + " s from now: did the clock go back?");
        }
        if (nowMillis - snapshot.savedAtMillis() > maxAgeMillis) {
            return reject(
                    RejectionReason.TOO_OLD,
                    "saved "
                            + Math.round((nowMillis - snapshot.savedAtMillis()) / 1000)
                            + " s ago");
        }
        if (snapshot.incarnation() < fencedIncarnation) {
            return reject(
                    RejectionReason.ROLLED_BACK,
                    "of life "
                            + snapshot.incarnation()
                            + ", and there was life "
                            + fencedIncarnation);
        }
        return Optional.empty();
    }

    private static Optional<Rejected> reject(RejectionReason reason, String detail) {
        return Optional.of(new Rejected(reason, detail));
    }
}
