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

/** For each rule, checks a history that keeps it and one that violates it. */
class HistoryCheckerTest {
    private RunHistory history;

    @BeforeEach
    void createEmptyHistory() throws Exception {
        history = new RunHistory(Schedule.of(ScriptReader.read(Path.of("lab/first.conf")), 1));
        history.addIncarnation(0);
    }

    /**
     * Adds a try that is sent at 1 s, runs, is served 50 ms later and has its deadline at 4.7 s.
     */
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
        history.tries.add(t);
        return t;
    }

    private void clearAnswer(Try t) {
        t.answeredAt = Double.NaN;
        t.answers = 0;
        t.answer = null;
        t.served = null;
    }

    private void assertViolations(Rule... rules) {
        assertEquals(
                List.of(rules),
                HistoryChecker.check(history).broken().stream()
                        .map(HistoryChecker.Violation::rule)
                        .toList());
    }

    @Test
    void aServedTryAndAReplayedResultAreNoViolation() {
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
        assertViolations();
    }

    @Test
    void aTryWithoutAnAnswerIsLostUnlessAFaultExcusesIt() {
        Try unansweredTry = add("a", 0, true, this::clearAnswer);
        assertViolations(Rule.LOST);
        assertTrue(
                HistoryChecker.check(history)
                        .broken()
                        .get(0)
                        .trace()
                        .get(1)
                        .contains("proxy 0: sent"));
        history.excusedIntervals.add(new ExcusedInterval(1, 0, 9000));
        assertViolations(Rule.LOST);
        assertEquals(0, HistoryChecker.check(history).excused());
        history.excusedIntervals.add(new ExcusedInterval(0, 3000, 3500));
        assertViolations();
        assertEquals(1, HistoryChecker.check(history).excused());
        history.excusedIntervals.clear();
        unansweredTry.brokenAt = 1049;
        assertViolations();
        unansweredTry.brokenAt = 1051;
        assertViolations(Rule.LOST);
        unansweredTry.sentAt = Double.NaN;
        assertViolations();
    }

    @Test
    void aLateAnswerIsLostUnlessTheLabItselfStalled() {
        add("a", 0, true, t -> t.answeredAt = 4849);
        assertViolations();
        add("b", 1, true, t -> t.answeredAt = 4851);
        assertViolations(Rule.LOST);
        history.stalls.add(new double[] {2000, 2060});
        assertViolations();
    }

    @Test
    void noIdRunsTwiceAndNoOrderRunsInTwoTries() {
        add("a", 0, true, t -> t.runs = 2);
        assertViolations(Rule.TWICE);
        add("b", 1, false, t -> {});
        add("c", 1, false, t -> {});
        assertViolations(Rule.TWICE, Rule.TWICE);
        add("d", 2, true, t -> {});
        add("e", 2, true, t -> {});
        assertViolations(Rule.TWICE, Rule.TWICE);
        add("f", 3, true, t -> t.answers = 2);
        assertViolations(Rule.TWICE, Rule.TWICE, Rule.TWICE);
    }

    @Test
    void aResultThatNoRunProducedIsWrong() {
        add("a", 0, true, t -> t.served = "made for z");
        assertViolations(Rule.WRONG);
        add("b", 1, false, t -> t.served = "made for a");
        assertViolations(Rule.WRONG, Rule.WRONG);
    }

    @Test
    void aRejectedTryMustNotRun() {
        add("a", 0, true, t -> t.answer = Try.Outcome.REFUSED);
        assertViolations(Rule.REFUSED_BUT_RAN);
    }

    @Test
    void aTrySentLongAfterTheNoticeMustNotRun() {
        history.incarnations.get(0).noticedAt = 1000 - HistoryChecker.MAX_SENT_AFTER_NOTICE_MILLIS;
        add("a", 0, true, t -> {});
        assertViolations();
        history.incarnations.get(0).noticedAt -= 1;
        assertViolations(Rule.RAN_AFTER_NOTICE);
    }

    @Test
    void memoryGrowthOverALongRunIsReportedAndGrowthDuringWarmUpIsNot() throws Exception {
        Script script = history.plan.script();
        history =
                new RunHistory(
                        Schedule.of(
                                new Script(
                                        "",
                                        60_000,
                                        1000,
                                        script.fleet(),
                                        script.engine(),
                                        script.classes(),
                                        script.members(),
                                        script.subjects(),
                                        script.callers(),
                                        script.load(),
                                        script.roster(),
                                        script.faults()),
                                1));
        RunHistory.GatewayIncarnation warmsUp = history.addIncarnation(0);
        RunHistory.GatewayIncarnation keepsGrowing = history.addIncarnation(1);
        for (double share = 0; share < 1; share += 0.01) {
            warmsUp.addSample(Math.min(70, 40 + 300 * share), 50, share);
            keepsGrowing.addSample(50 + 25 * share, 50, share);
        }
        assertViolations(Rule.LIMIT);
        assertEquals(15, keepsGrowing.grownMb(), 0.5);
        assertEquals(
                "gateway 1 grew by 15 MB over the day",
                HistoryChecker.check(history).broken().get(0).description());
    }

    @Test
    void anEndWithoutACauseInTheScriptIsACrashAndLimitsAreChecked() {
        history.incarnations.get(0).endedAt = 500;
        history.incarnations.get(0).exit = 3;
        assertViolations(Rule.CRASHED);
        history.incarnations.get(0).endedByScript = true;
        assertViolations();
        history.incarnations.get(0).mostMemoryMb = 193;
        assertViolations(Rule.LIMIT);
        history.strange.add("what nobody knows");
        assertViolations(Rule.LIMIT, Rule.STRANGE);
        assertTrue(
                HistoryChecker.fates(history, HistoryChecker.check(history).broken())
                        .toString()
                        .endsWith("lost 0, twice 0, wrong 0"));
    }
}
