package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tinroad.recovery.StateRestorer;
import tinroad.state.SnapshotReadResult.RejectionReason;
import tinroad.state.SnapshotSelector.Candidate;
import tinroad.state.SnapshotSelector.StartMode;

/** Tests encoding, selection and decay of snapshots, without files. */
class SnapshotTest {
    private static final double NOW_MILLIS = 1.8e12;
    private static final double MAX_AGE_MILLIS = 600_000;

    static Snapshot snapshot(long incarnation, long generation, double savedAtMillis) {
        return new Snapshot(
                "n3",
                incarnation,
                generation,
                savedAtMillis,
                true,
                Map.of(
                        "run.order-status",
                        new LearnedValue(24.5, 80, savedAtMillis - 10, incarnation)),
                Map.of("9b1f03aa5c7e2d41", savedAtMillis + 3000));
    }

    private static Candidate file(Snapshot s) {
        return new Candidate(
                "f" + s.incarnation() + "." + s.generation(),
                SnapshotCodec.read(SnapshotCodec.write(s)));
    }

    private static RejectionReason reason(SnapshotReadResult result) {
        return assertInstanceOf(SnapshotReadResult.Rejected.class, result).reason();
    }

    private static SnapshotSelector.Decision decide(long fencedIncarnation, Candidate... found) {
        return SnapshotSelector.select(
                List.of(found), "n3", NOW_MILLIS, MAX_AGE_MILLIS, 0, fencedIncarnation);
    }

    @Test
    void readsWhatItWrote() {
        Snapshot s = snapshot(3, 7, NOW_MILLIS);
        assertEquals(s, SnapshotCodec.read(SnapshotCodec.write(s)).usable().orElseThrow());
    }

    /** A snapshot written by a release that had no catalogs yet. */
    private static final String SNAPSHOT_WITHOUT_CATALOG =
            "74696e726f61642d737461746520310a00000091bf646e616d65626e33646c696665036a67656e65726174696f6e076873617665645f61"
                + "74fb427a3185c500000069657661637561746564f56676616c756573bf7072756e2e6f726465722d7374617475739ffb40388000000000"
                + "00fb4054000000000000fb427a3185c4ff600003ffff6372616ebf7039623166303361613563376532643431fb427a3185c5bb8000ffff"
                + "fe63076b";

    @Test
    void readsASnapshotFromBeforeThereWereCatalogs() {
        assertEquals(
                snapshot(3, 7, NOW_MILLIS),
                SnapshotCodec.read(HexFormat.of().parseHex(SNAPSHOT_WITHOUT_CATALOG))
                        .usable()
                        .orElseThrow());
        assertEquals(0, snapshot(3, 7, NOW_MILLIS).catalogEpoch());
    }

    @Test
    void restoresTheVersionOfTheCatalog() {
        Snapshot s =
                new Snapshot("n3", 1, 1, NOW_MILLIS, false, Map.of(), Map.of(), 1L << 40, 24_000);
        assertEquals(s, SnapshotCodec.read(SnapshotCodec.write(s)).usable().orElseThrow());
        StateRestorer next = new StateRestorer("n3", decide(0, file(s)), 2, MAX_AGE_MILLIS, 1000);
        assertEquals(1L << 40, next.catalogEpoch());
        assertEquals(24_000, next.catalogNumber());
        assertEquals(
                s.catalogNumber() + 1,
                next.toSnapshot(
                                NOW_MILLIS,
                                Map.of(),
                                Map.of(),
                                false,
                                s.catalogEpoch(),
                                s.catalogNumber() + 1)
                        .catalogNumber());
    }

    @Test
    void rejectsAFileTruncatedAtAnyByte() {
        byte[] complete = SnapshotCodec.write(snapshot(3, 7, NOW_MILLIS));
        for (int n = 0; n < complete.length; n++) {
            assertEquals(
                    RejectionReason.CORRUPT,
                    reason(SnapshotCodec.read(Arrays.copyOf(complete, n))),
                    "cut at " + n);
        }
    }

    @Test
    void rejectsAFileWithAnyBitFlipped() {
        byte[] complete = SnapshotCodec.write(snapshot(3, 7, NOW_MILLIS));
        for (int bit = 0; bit < 8 * complete.length; bit++) {
            byte[] flipped = complete.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertEquals(Optional.empty(), SnapshotCodec.read(flipped).usable(), "bit " + bit);
        }
    }

    @Property(tries = 500, seed = "1")
    void rejectsGarbage(@ForAll @Size(max = 300) byte[] garbage) {
        assertEquals(RejectionReason.CORRUPT, reason(SnapshotCodec.read(garbage)));
    }

    @Test
    void rejectsALaterVersionOfTheFormat() {
        assertEquals(
                RejectionReason.UNSUPPORTED_VERSION,
                reason(SnapshotCodec.read(SnapshotCodec.write(snapshot(1, 1, NOW_MILLIS), 2))));
    }

    @Test
    void selectsTheLatestSnapshotOfTheLatestIncarnation() {
        // A replaced process that resumed wrote a higher generation of its lower incarnation.
        SnapshotSelector.Decision decision =
                decide(
                        0,
                        file(snapshot(2, 900, NOW_MILLIS - 10)),
                        file(snapshot(3, 1, NOW_MILLIS - 500)),
                        file(snapshot(3, 2, NOW_MILLIS - 300)));
        assertEquals(Optional.of(snapshot(3, 2, NOW_MILLIS - 300)), decision.snapshot());
        assertEquals(StartMode.WARM, decision.startMode());
        assertEquals(3, decision.lastIncarnation());
        assertEquals(List.of(), decision.rejectedFiles());
    }

    @Test
    void fallsBackToThePreviousSnapshotWhereTheLatestIsCorrupt() {
        Candidate truncated =
                new Candidate(
                        "truncated",
                        SnapshotCodec.read(
                                Arrays.copyOf(
                                        SnapshotCodec.write(snapshot(4, 9, NOW_MILLIS)), 50)));
        SnapshotSelector.Decision decision =
                decide(0, file(snapshot(3, 2, NOW_MILLIS - 300)), truncated);
        assertEquals(3, decision.snapshot().orElseThrow().incarnation());
        assertTrue(
                decision.rejectedFiles()
                        .get(0)
                        .startsWith("truncated: damaged: its checksum does not match"),
                decision::toString);
    }

    @Test
    void startsColdWhereAllSnapshotsAreRejected() {
        Map<Candidate, String> rejectedCandidates = new LinkedHashMap<>();
        rejectedCandidates.put(
                file(snapshot(3, 1, NOW_MILLIS - MAX_AGE_MILLIS - 1)),
                "f3.1: too old: saved 600 s ago");
        rejectedCandidates.put(
                file(snapshot(3, 1, NOW_MILLIS + 3_600_000)),
                "f3.1: future: saved 3600 s from now");
        rejectedCandidates.put(
                file(new Snapshot("n4", 3, 1, NOW_MILLIS, false, Map.of(), Map.of())),
                "f3.1: anothers: it belongs to gateway n4");
        rejectedCandidates.put(
                file(snapshot(3, 1, NOW_MILLIS)),
                "f3.1: rolled back: of life 3, and there was life 5");
        rejectedCandidates.forEach(
                (c, text) -> {
                    SnapshotSelector.Decision decision = decide(text.contains("rolled") ? 5 : 0, c);
                    assertEquals(StartMode.COLD, decision.startMode());
                    assertEquals(Optional.empty(), decision.snapshot());
                    assertTrue(
                            decision.rejectedFiles().get(0).startsWith(text), decision::toString);
                });
    }

    @Test
    void startsForTheFirstTimeOnlyWhereNoIncarnationIsKnown() {
        assertEquals(StartMode.FIRST, decide(0).startMode());
        assertEquals(
                new SnapshotSelector.Decision(StartMode.COLD, Optional.empty(), 5, List.of()),
                decide(5));
        assertEquals(
                StartMode.COLD,
                SnapshotSelector.select(List.of(), "n3", NOW_MILLIS, MAX_AGE_MILLIS, 2, 0)
                        .startMode());
    }

    /** Checks that no value is used beyond its maximum age, whatever the arguments are. */
    @Property(tries = 1000, seed = "1")
    void usesNoValueBeyondItsMaximumAge(
            @ForAll double value,
            @ForAll double weight,
            @ForAll int learnedMillisAgo,
            @ForAll int maxAgeMillis) {
        Optional<DecayedValue> decayed =
                DecayedValue.of(
                        new LearnedValue(value, weight, NOW_MILLIS - learnedMillisAgo, 3),
                        NOW_MILLIS,
                        10,
                        1000,
                        maxAgeMillis);
        decayed.ifPresent(
                used ->
                        assertTrue(
                                used.ageMillis() <= maxAgeMillis
                                        && used.ageMillis() >= 0
                                        && Double.isFinite(used.value())
                                        && used.weight() >= 0));
        assertTrue(
                decayed.isEmpty()
                        || learnedMillisAgo >= -SnapshotSelector.MAX_CLOCK_DIFFERENCE_MILLIS);
    }

    @Test
    void decaysTowardThePrior() {
        LearnedValue learned = new LearnedValue(100, 80, NOW_MILLIS - 2000, 3);
        assertEquals(
                Optional.of(new DecayedValue(55, 40, 2000, 3)),
                DecayedValue.of(learned, NOW_MILLIS, 10, 2000, MAX_AGE_MILLIS));
        assertEquals(
                Optional.of(new DecayedValue(32.5, 20, 4000, 3)),
                DecayedValue.of(learned, NOW_MILLIS + 2000, 10, 2000, MAX_AGE_MILLIS));
        assertEquals(Optional.empty(), DecayedValue.of(learned, NOW_MILLIS, 10, 2000, 1999));
        assertEquals(
                Optional.empty(),
                DecayedValue.of(learned, NOW_MILLIS - 3001, 10, 2000, MAX_AGE_MILLIS));
    }

    @Test
    void keepsALargeSnapshotWithinItsSizeBound() {
        Map<String, LearnedValue> values = new LinkedHashMap<>();
        Map<String, Double> executedIds = new LinkedHashMap<>();
        for (int i = 0; i < 50_000; i++) {
            values.put("caller." + i, new LearnedValue(i, 1, NOW_MILLIS, 1));
            executedIds.put(String.format("%016x", i * 7919L), NOW_MILLIS + i);
        }
        byte[] bytes =
                SnapshotCodec.write(
                        new Snapshot("n3", 1, 1, NOW_MILLIS, false, values, executedIds));
        assertTrue(bytes.length < 4_500_000, "" + bytes.length);
        assertEquals(50_000, SnapshotCodec.read(bytes).usable().orElseThrow().values().size());
    }
}
