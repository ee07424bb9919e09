package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tinroad.recovery.StateRestorer;
import tinroad.state.SnapshotReadResult.RejectionReason;
import tinroad.state.SnapshotSelector.Candidate;
import tinroad.state.SnapshotSelector.StartMode;

/** What is decided about state, without a file. */
class StateTest {
    private static final double NOW = 1.8e12;
    private static final double OLDEST = 600_000;

    static Snapshot snapshot(long life, long generation, double savedAt) {
        return new Snapshot(
                "n3",
                life,
                generation,
                savedAt,
                true,
                Map.of("run.order-status", new LearnedValue(24.5, 80, savedAt - 10, life)),
                Map.of("9b1f03aa5c7e2d41", savedAt + 3000));
    }

    private static Candidate file(Snapshot s) {
        return new Candidate(
                "f" + s.incarnation() + "." + s.generation(),
                SnapshotCodec.read(SnapshotCodec.write(s)));
    }

    private static SnapshotSelector.Decision decide(long fence, Candidate... found) {
        return SnapshotSelector.select(List.of(found), "n3", NOW, OLDEST, 0, fence);
    }

    @Test
    void whatIsWrittenIsRead() {
        Snapshot s = snapshot(3, 7, NOW);
        assertEquals(s, SnapshotCodec.read(SnapshotCodec.write(s)).snapshot());
    }

    /** Written by the program that knew no catalog yet. */
    private static final String OLDER =
            "74696e726f61642d737461746520310a00000091bf646e616d65626e33646c696665036a67656e65726174696f6e076873617665645f61"
                + "74fb427a3185c500000069657661637561746564f56676616c756573bf7072756e2e6f726465722d7374617475739ffb40388000000000"
                + "00fb4054000000000000fb427a3185c4ff600003ffff6372616ebf7039623166303361613563376532643431fb427a3185c5bb8000ffff"
                + "fe63076b";

    @Test
    void aFileOfTheProgramBeforeIsReadAndTellsNoCatalog() {
        assertEquals(
                snapshot(3, 7, NOW), SnapshotCodec.read(HexFormat.of().parseHex(OLDER)).snapshot());
        assertEquals(0, snapshot(3, 7, NOW).catalogEpoch());
    }

    @Test
    void theCatalogThatWasInForceIsRemembered() {
        Snapshot s = new Snapshot("n3", 1, 1, NOW, false, Map.of(), Map.of(), 1L << 40, 24_000);
        assertEquals(s, SnapshotCodec.read(SnapshotCodec.write(s)).snapshot());
        StateRestorer next = new StateRestorer("n3", decide(0, file(s)), 2, OLDEST, 1000);
        assertEquals(1L << 40, next.catalogEpoch());
        assertEquals(24_000, next.catalogNumber());
        assertEquals(
                s.catalogNumber() + 1,
                next.toSnapshot(
                                NOW,
                                Map.of(),
                                Map.of(),
                                false,
                                s.catalogEpoch(),
                                s.catalogNumber() + 1)
                        .catalogNumber());
    }

    @Test
    void aFileCutShortAtAnyByteIsDamaged() {
        byte[] whole = SnapshotCodec.write(snapshot(3, 7, NOW));
        for (int n = 0; n < whole.length; n++) {
            assertEquals(
                    RejectionReason.DAMAGED,
                    SnapshotCodec.read(Arrays.copyOf(whole, n)).reason(),
                    "cut at " + n);
        }
    }

    @Test
    void noBitCanFlipUnnoticed() {
        byte[] whole = SnapshotCodec.write(snapshot(3, 7, NOW));
        for (int bit = 0; bit < 8 * whole.length; bit++) {
            byte[] flipped = whole.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(SnapshotCodec.read(flipped).snapshot(), "bit " + bit);
        }
    }

    @Property(tries = 500, seed = "1")
    void garbageIsSetAside(@ForAll @Size(max = 300) byte[] garbage) {
        assertEquals(RejectionReason.DAMAGED, SnapshotCodec.read(garbage).reason());
    }

    @Test
    void aLaterVersionIsNotRead() {
        assertEquals(
                RejectionReason.FOREIGN_VERSION,
                SnapshotCodec.read(SnapshotCodec.write(snapshot(1, 1, NOW), 2)).reason());
    }

    @Test
    void theLatestSnapshotOfTheLatestLifeIsBelieved() {
        // A replaced process that woke up has written a higher generation of its own, lower life.
        SnapshotSelector.Decision d =
                decide(
                        0,
                        file(snapshot(2, 900, NOW - 10)),
                        file(snapshot(3, 1, NOW - 500)),
                        file(snapshot(3, 2, NOW - 300)));
        assertEquals(snapshot(3, 2, NOW - 300), d.snapshot());
        assertEquals(StartMode.WARM, d.startMode());
        assertEquals(3, d.lastIncarnation());
        assertEquals(List.of(), d.rejectedFiles());
    }

    @Test
    void aDamagedOneGivesWayToTheOneBefore() {
        Candidate torn =
                new Candidate(
                        "torn",
                        SnapshotCodec.read(
                                Arrays.copyOf(SnapshotCodec.write(snapshot(4, 9, NOW)), 50)));
        SnapshotSelector.Decision d = decide(0, file(snapshot(3, 2, NOW - 300)), torn);
        assertEquals(3, d.snapshot().incarnation());
        assertTrue(
                d.rejectedFiles().get(0).startsWith("torn: damaged: its checksum does not fit"),
                d::toString);
    }

    @Test
    void whatCannotBeTrueIsSetAsideAndTheLifeBeginsCold() {
        Map<Candidate, String> wrong = new LinkedHashMap<>();
        wrong.put(file(snapshot(3, 1, NOW - OLDEST - 1)), "f3.1: too old: saved 600 s ago");
        wrong.put(file(snapshot(3, 1, NOW + 3_600_000)), "f3.1: future: saved 3600 s from now");
        wrong.put(
                file(new Snapshot("n4", 3, 1, NOW, false, Map.of(), Map.of())),
                "f3.1: anothers: it is of n4");
        wrong.put(file(snapshot(3, 1, NOW)), "f3.1: rolled back: of life 3, and there was life 5");
        wrong.forEach(
                (c, text) -> {
                    SnapshotSelector.Decision d = decide(text.contains("rolled") ? 5 : 0, c);
                    assertEquals(StartMode.COLD, d.startMode());
                    assertNull(d.snapshot());
                    assertTrue(d.rejectedFiles().get(0).startsWith(text), d::toString);
                });
    }

    @Test
    void anEmptyFolderIsAFirstStartUnlessSomethingTellsOfALifeBefore() {
        assertEquals(StartMode.FIRST, decide(0).startMode());
        assertEquals(new SnapshotSelector.Decision(StartMode.COLD, null, 5, List.of()), decide(5));
        assertEquals(
                StartMode.COLD,
                SnapshotSelector.select(List.of(), "n3", NOW, OLDEST, 2, 0).startMode());
    }

    /** No decision may use a value beyond its age, whatever is asked for. */
    @Property(tries = 1000, seed = "1")
    void nothingIsUsedBeyondItsAge(
            @ForAll double value,
            @ForAll double weight,
            @ForAll int learnedAgo,
            @ForAll int oldest) {
        DecayedValue aged =
                DecayedValue.of(
                        new LearnedValue(value, weight, NOW - learnedAgo, 3),
                        NOW,
                        10,
                        1000,
                        oldest);
        assertTrue(
                aged == null
                        || (aged.ageMillis() <= oldest
                                && aged.ageMillis() >= 0
                                && Double.isFinite(aged.value())
                                && aged.weight() >= 0));
        assertTrue(aged == null || learnedAgo >= -SnapshotSelector.MAX_CLOCK_DIFFERENCE_MILLIS);
    }

    @Test
    void aValueFadesTowardThePrior() {
        LearnedValue r = new LearnedValue(100, 80, NOW - 2000, 3);
        assertEquals(new DecayedValue(55, 40, 2000, 3), DecayedValue.of(r, NOW, 10, 2000, OLDEST));
        assertEquals(
                new DecayedValue(32.5, 20, 4000, 3),
                DecayedValue.of(r, NOW + 2000, 10, 2000, OLDEST));
        assertNull(DecayedValue.of(r, NOW, 10, 2000, 1999));
        assertNull(DecayedValue.of(r, NOW - 3001, 10, 2000, OLDEST));
    }

    @Test
    void aLargeStateStaysWithinItsBound() {
        Map<String, LearnedValue> values = new LinkedHashMap<>();
        Map<String, Double> ran = new LinkedHashMap<>();
        for (int i = 0; i < 50_000; i++) {
            values.put("caller." + i, new LearnedValue(i, 1, NOW, 1));
            ran.put(String.format("%016x", i * 7919L), NOW + i);
        }
        byte[] bytes = SnapshotCodec.write(new Snapshot("n3", 1, 1, NOW, false, values, ran));
        assertTrue(bytes.length < 4_500_000, "" + bytes.length);
        assertEquals(50_000, SnapshotCodec.read(bytes).snapshot().values().size());
    }
}
