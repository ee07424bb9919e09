package tinroad.lab.soak;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.Lab;
import tinroad.lab.Report;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/**
 * The result of a soak run: the violations that the lab's report found, and gateways that did not
 * shut down or start again as they should.
 *
 * @param lateMillis largest delay of the lab itself
 * @param faults one line for each failed check; empty where all passed
 */
public record SoakVerdict(double lateMillis, List<String> faults) {
    /** A run in which the lab itself was delayed by more than this, in ms, is void. */
    public static final double MAX_LATE_MILLIS = 50;

    private static final int SIGTERM_STATUS = 128 + 15;

    /** A process started at least this long before the end of the load has to listen, in ms. */
    private static final double MAX_START_MILLIS = 5_000;

    /** Outcome of a run. */
    public enum Outcome {
        /** All checks passed. */
        KEPT,
        /** A check failed. */
        BROKEN,
        /** The lab itself was delayed, so the run proves nothing. */
        VOID
    }

    /** Checks a finished run. */
    static SoakVerdict of(Lab.RunOutcome outcome, Report report) {
        RunHistory history = outcome.ledger();
        List<String> faults = new ArrayList<>();
        report.broken()
                .forEach(
                        violation -> faults.add(violation.rule() + ": " + violation.description()));
        for (RunHistory.GatewayIncarnation incarnation : history.incarnations) {
            checkEnd(history, incarnation, faults);
            checkStart(history, incarnation, faults);
        }
        double lateMillis = outcome.late();
        for (double[] stall : history.stalls) {
            lateMillis = Math.max(lateMillis, stall[1] - stall[0]);
        }
        return new SoakVerdict(lateMillis, List.copyOf(faults));
    }

    private static void checkEnd(
            RunHistory history, RunHistory.GatewayIncarnation incarnation, List<String> faults) {
        if (!(incarnation.noticedAt < history.plan.script().length())) {
            return;
        }
        String subject = "gateway " + incarnation.gateway + ", incarnation " + incarnation.number;
        if (hasEvent(history, incarnation, incarnation.noticedAt, "did not end on notice")) {
            faults.add(subject + ": still running when it was killed");
        } else if (incarnation.exit != SIGTERM_STATUS) {
            faults.add(subject + ": ended with status " + incarnation.exit);
        } else if (!hasEvent(history, incarnation, incarnation.noticedAt, "server - drained")) {
            faults.add(subject + ": ended without the log line 'drained'");
        }
    }

    private static void checkStart(
            RunHistory history, RunHistory.GatewayIncarnation incarnation, List<String> faults) {
        boolean hasToListen =
                incarnation.number > 0
                        && incarnation.begunAt < history.plan.script().length() - MAX_START_MILLIS
                        && !(incarnation.endedAt < history.plan.script().length());
        if (hasToListen && !hasEvent(history, incarnation, incarnation.begunAt, "listening on")) {
            faults.add(
                    "gateway "
                            + incarnation.gateway
                            + ", incarnation "
                            + incarnation.number
                            + ": did not listen again after its restart");
        }
    }

    private static boolean hasEvent(
            RunHistory history,
            RunHistory.GatewayIncarnation incarnation,
            double fromMillis,
            String text) {
        String where = "gateway " + incarnation.gateway;
        double untilMillis =
                Double.isNaN(incarnation.endedAt)
                        ? Double.MAX_VALUE
                        : incarnation.endedAt + MAX_LATE_MILLIS;
        for (Try.Step event : history.events) {
            if (event.where().equals(where)
                    && event.at() >= fromMillis - MAX_LATE_MILLIS
                    && event.at() <= untilMillis
                    && event.what().contains(text)) {
                return true;
            }
        }
        return false;
    }

    /** The outcome of the run; VOID takes precedence over failed checks. */
    public Outcome outcome() {
        if (lateMillis > MAX_LATE_MILLIS) {
            return Outcome.VOID;
        }
        return faults.isEmpty() ? Outcome.KEPT : Outcome.BROKEN;
    }
}
