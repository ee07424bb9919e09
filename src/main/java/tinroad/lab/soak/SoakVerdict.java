package tinroad.lab.soak;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.Lab;
import tinroad.lab.Report;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/**
 * What is wrong with a soak run: the rules that the lab's report found broken, and ends of gateways
 * that are not in order.
 *
 * @param lateMillis how late the lab itself was at most
 * @param faults a line for each; empty where nothing is wrong
 */
public record SoakVerdict(double lateMillis, List<String> faults) {
    /** A run in which the lab itself was later than this, in ms, shows nothing. */
    public static final double MAX_LATE_MILLIS = 50;

    private static final int SIGTERM_STATUS = 128 + 15;

    /** So long before the end of the load a process has to be started to be judged, in ms. */
    private static final double READY_MILLIS = 5_000;

    /** What became of a run. */
    public enum Outcome {
        KEPT,
        BROKEN,
        /** The lab was late itself: neither kept nor broken. */
        VOID
    }

    /** Judges a run. */
    static SoakVerdict of(Lab.RunOutcome outcome, Report report) {
        RunHistory ledger = outcome.ledger();
        List<String> faults = new ArrayList<>();
        report.broken().forEach(broken -> faults.add(broken.rule() + ": " + broken.description()));
        for (RunHistory.GatewayIncarnation life : ledger.incarnations) {
            judgeEnd(ledger, life, faults);
            judgeStart(ledger, life, faults);
        }
        double lateMillis = outcome.late();
        for (double[] stall : ledger.stalls) {
            lateMillis = Math.max(lateMillis, stall[1] - stall[0]);
        }
        return new SoakVerdict(lateMillis, List.copyOf(faults));
    }

    private static void judgeEnd(
            RunHistory ledger, RunHistory.GatewayIncarnation life, List<String> faults) {
        if (!(life.noticedAt < ledger.plan.script().length())) {
            return;
        }
        String which = "gateway " + life.gateway + ", life " + life.number;
        if (has(ledger, life, life.noticedAt, "did not end on notice")) {
            faults.add(which + ": there at the kill");
        } else if (life.exit != SIGTERM_STATUS) {
            faults.add(which + ": ended with status " + life.exit);
        } else if (!has(ledger, life, life.noticedAt, "server - drained")) {
            faults.add(which + ": ended without 'drained'");
        }
    }

    private static void judgeStart(
            RunHistory ledger, RunHistory.GatewayIncarnation life, List<String> faults) {
        boolean judged =
                life.number > 0
                        && life.begunAt < ledger.plan.script().length() - READY_MILLIS
                        && !(life.endedAt < ledger.plan.script().length());
        if (judged && !has(ledger, life, life.begunAt, "listening on")) {
            faults.add(
                    "gateway " + life.gateway + ", life " + life.number + ": never listened again");
        }
    }

    private static boolean has(
            RunHistory ledger,
            RunHistory.GatewayIncarnation life,
            double fromMillis,
            String remark) {
        String where = "gateway " + life.gateway;
        double untilMillis =
                Double.isNaN(life.endedAt) ? Double.MAX_VALUE : life.endedAt + MAX_LATE_MILLIS;
        for (Try.Step event : ledger.events) {
            if (event.where().equals(where)
                    && event.at() >= fromMillis - MAX_LATE_MILLIS
                    && event.at() <= untilMillis
                    && event.what().contains(remark)) {
                return true;
            }
        }
        return false;
    }

    /** What became of the run. */
    public Outcome outcome() {
        if (lateMillis > MAX_LATE_MILLIS) {
            return Outcome.VOID;
        }
        return faults.isEmpty() ? Outcome.KEPT : Outcome.BROKEN;
    }
}
