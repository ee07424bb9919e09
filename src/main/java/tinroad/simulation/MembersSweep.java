package tinroad.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MembershipConfig;
import tinroad.lab.verification.PairedComparison;

/** Measures the membership protocol by fleet size and network loss, over several seeds. */
public final class MembersSweep {
    /** Names of the columns of {@link #row}. */
    public static final List<String> NAMES =
            List.of(
                    "rules",
                    "members",
                    "loss",
                    "death_known_ms",
                    "worst_ms",
                    "false_suspicions_h",
                    "false_deaths_h",
                    "deaths_of_stopped",
                    "healed_ms",
                    "healed_worst_ms",
                    "packets_s",
                    "bytes_s",
                    "broken");

    private static final double MAX_JOIN_MILLIS = 60_000;
    private static final double QUIET_MILLIS = 20_000;
    private static final double PARTITION_MILLIS = 6000;
    private static final double PAUSE_MILLIS = 1900;
    private static final double MAX_WAIT_MILLIS = 30_000;
    private static final double HOUR_MILLIS = 3_600_000;

    private MembersSweep() {}

    /**
     * Measures one row: a fleet of this size joins, runs without faults, loses a member, has a
     * tenth of its members paused for 1.9 s, and is partitioned into halves for 6 s.
     */
    public static List<Object> row(
            String rules, MembershipConfig config, int members, double loss, long[] seeds) {
        List<Double> deathTimes = new ArrayList<>();
        List<Double> healTimes = new ArrayList<>();
        double suspicions = 0;
        double falseDeaths = 0;
        int pausedDeaths = 0;
        double packets = 0;
        double bytes = 0;
        int violations = 0;
        for (long seed : seeds) {
            MembersModel model = new MembersModel(members, 2, config, seed);
            model.advanceUntilConverged(MAX_JOIN_MILLIS);
            model.advance(2000);
            model.setLoss(loss);
            model.resetCounters();
            model.advance(QUIET_MILLIS);
            packets += model.packets() / QUIET_MILLIS * 1000 / members;
            bytes += model.bytes() / QUIET_MILLIS * 1000 / members;
            suspicions += model.falseSuspicions() * HOUR_MILLIS / QUIET_MILLIS;
            falseDeaths += model.falseDeaths() * HOUR_MILLIS / QUIET_MILLIS;
            model.kill(members - 1);
            deathTimes.add(model.advanceUntil(members - 1, MemberStatus.DEAD, MAX_WAIT_MILLIS));
            model.advance(3000);
            model.resetCounters();
            IntStream.range(0, Math.max(1, members / 10)).forEach(n -> model.setPaused(n, true));
            model.advance(PAUSE_MILLIS);
            IntStream.range(0, Math.max(1, members / 10)).forEach(n -> model.setPaused(n, false));
            model.advance(6000);
            pausedDeaths += model.falseDeaths();
            model.setDropRule((from, to) -> from % 2 != to % 2);
            model.advance(PARTITION_MILLIS);
            model.setDropRule((from, to) -> false);
            model.setLoss(0);
            healTimes.add(model.advanceUntilConverged(MAX_WAIT_MILLIS));
            violations += model.violations().size();
        }
        return List.of(
                rules,
                members,
                loss,
                median(deathTimes),
                worst(deathTimes),
                Math.round(suspicions / seeds.length),
                Math.round(falseDeaths / seeds.length),
                pausedDeaths,
                median(healTimes),
                worst(healTimes),
                Math.round(10 * packets / seeds.length) / 10.0,
                Math.round(bytes / seeds.length),
                violations);
    }

    private static long median(List<Double> values) {
        return Math.round(PairedComparison.median(values.stream().mapToDouble(x -> x).toArray()));
    }

    private static long worst(List<Double> values) {
        return Math.round(values.stream().mapToDouble(x -> x).max().orElse(0));
    }
}
