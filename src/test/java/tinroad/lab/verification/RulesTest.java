package tinroad.lab.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.ScriptReader;
import tinroad.lab.verification.HistoryChecker.Rule;
import tinroad.lab.verification.RunHistory.ExcusedInterval;

/** Each rule: a ledger that keeps it, and one that breaks it. */
class RulesTest {
    private RunHistory ledger;

    @BeforeEach
    void empty() throws Exception {
        ledger = new RunHistory(Schedule.of(ScriptReader.read(Path.of("lab/first.conf")), 1));
        ledger.addIncarnation(0);
    }

    /** A try of a read, sent at 1 s, run and served 50 ms later; due at 4.7 s. */
    private Try add(String id, int request, boolean free, Consumer<Try> change) {
        Try t = new Try(id, request, 1, 0, 0, free, free ? "read 7" : null, 4700);
        t.sentAt = 1000;
        t.answeredAt = 1050;
        t.answers = 1;
        t.answer = Try.Outcome.SERVED;
        t.end = Try.Outcome.SERVED;
        t.runs = 1;
        t.ranAt = 1001;
        t.result = "made for " + id;
        t.served = t.result;
        t.addStep(1000, "proxy 0", "sent");
        change.accept(t);
        ledger.tries.add(t);
        return t;
    }

    private void unanswered(Try t) {
        t.answeredAt = Double.NaN;
        t.answers = 0;
        t.answer = null;
        t.served = null;
    }

    private void broken(Rule... rules) {
        assertEquals(
                List.of(rules),
                HistoryChecker.check(ledger).broken().stream()
                        .map(HistoryChecker.Violation::rule)
                        .toList());
    }

    @Test
    void aServedTryIsFineAndSoIsWhatRepeatsIt() {
        add("a", 0, true, t -> {});
        add(
                "b",
                1,
                true,
                t -> {
                    t.runs = 0;
                    t.result = null;
                    t.served = "made for a";
                });
        broken();
    }

    @Test
    void aTryWithoutAnAnswerIsLostUnlessTheScriptTookIt() {
        Try lost = add("a", 0, true, this::unanswered);
        broken(Rule.LOST);
        assertTrue(
                HistoryChecker.check(ledger)
                        .broken()
                        .get(0)
                        .trace()
                        .get(1)
                        .contains("proxy 0: sent"));
        ledger.excusedIntervals.add(new ExcusedInterval(1, 0, 9000));
        broken(Rule.LOST);
        assertEquals(0, HistoryChecker.check(ledger).excused());
        ledger.excusedIntervals.add(new ExcusedInterval(0, 3000, 3500));
        broken();
        assertEquals(1, HistoryChecker.check(ledger).excused());
        ledger.excusedIntervals.clear();
        lost.brokenAt = 1049;
        broken();
        lost.brokenAt = 1051;
        broken(Rule.LOST);
        lost.sentAt = Double.NaN;
        broken();
    }

    @Test
    void aLateAnswerIsLostUnlessTheLabStoodStill() {
        add("a", 0, true, t -> t.answeredAt = 4849);
        broken();
        add("b", 1, true, t -> t.answeredAt = 4851);
        broken(Rule.LOST);
        ledger.stalls.add(new double[] {2000, 2060});
        broken();
    }

    @Test
    void noIdRunsTwiceAndNoOrderRunsInTwoTries() {
        add("a", 0, true, t -> t.runs = 2);
        broken(Rule.TWICE);
        add("b", 1, false, t -> {});
        add("c", 1, false, t -> {});
        broken(Rule.TWICE, Rule.TWICE);
        add("d", 2, true, t -> {});
        add("e", 2, true, t -> {});
        broken(Rule.TWICE, Rule.TWICE);
        add("f", 3, true, t -> t.answers = 2);
        broken(Rule.TWICE, Rule.TWICE, Rule.TWICE);
    }

    @Test
    void whatNoRunMadeIsWrong() {
        add("a", 0, true, t -> t.served = "made for z");
        broken(Rule.WRONG);
        add("b", 1, false, t -> t.served = "made for a");
        broken(Rule.WRONG, Rule.WRONG);
    }

    @Test
    void whatWasRefusedNeverRan() {
        add("a", 0, true, t -> t.answer = Try.Outcome.REFUSED);
        broken(Rule.REFUSED_BUT_RAN);
    }

    @Test
    void nothingRunsThatCameLongAfterTheNotice() {
        ledger.incarnations.get(0).noticedAt = 1000 - HistoryChecker.GRACE;
        add("a", 0, true, t -> {});
        broken();
        ledger.incarnations.get(0).noticedAt -= 1;
        broken(Rule.RAN_AFTER_NOTICE);
    }

    @Test
    void memoryThatGrowsOverALongDayIsToldAndWarmingUpIsNot() throws Exception {
        Script day = ledger.plan.script();
        ledger =
                new RunHistory(
                        Schedule.of(
                                new Script(
                                        "",
                                        60_000,
                                        1000,
                                        day.fleet(),
                                        day.engine(),
                                        day.classes(),
                                        day.members(),
                                        day.subjects(),
                                        day.callers(),
                                        day.load(),
                                        day.roster(),
                                        day.faults()),
                                1));
        RunHistory.GatewayIncarnation warms = ledger.addIncarnation(0);
        RunHistory.GatewayIncarnation grows = ledger.addIncarnation(1);
        for (double part = 0; part < 1; part += 0.01) {
            warms.addSample(Math.min(70, 40 + 300 * part), 50, part);
            grows.addSample(50 + 25 * part, 50, part);
        }
        broken(Rule.LIMIT);
        assertEquals(15, grows.grownMb(), 0.5);
        assertEquals(
                "gateway 1 grew by 15 MB over the day",
                HistoryChecker.check(ledger).broken().get(0).description());
    }

    @Test
    void anEndThatNobodyAskedForIsACrashAndLimitsHold() {
        ledger.incarnations.get(0).endedAt = 500;
        ledger.incarnations.get(0).exit = 3;
        broken(Rule.CRASHED);
        ledger.incarnations.get(0).endedByScript = true;
        broken();
        ledger.incarnations.get(0).mostMemoryMb = 193;
        broken(Rule.LIMIT);
        ledger.strange.add("what nobody knows");
        broken(Rule.LIMIT, Rule.STRANGE);
        assertTrue(
                HistoryChecker.fates(ledger, HistoryChecker.check(ledger).broken())
                        .toString()
                        .endsWith("lost 0, twice 0, wrong 0"));
    }
}
