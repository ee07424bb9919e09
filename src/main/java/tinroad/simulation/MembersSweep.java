package tinroad.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MembershipConfig;
import tinroad.lab.verification.PairedComparison;

/**
 * The figures of a membership against the fleet's size and the network's loss, over several seeds.
 */
public final class MembersSweep {
    /** What the columns of {@link #row} are. */
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

    private static final double JOIN = 60_000;
    private static final double QUIET = 20_000;
    private static final double CUT = 6000;
    private static final double STOP = 1900;
    private static final double MOST = 30_000;
    private static final double HOUR = 3_600_000;

    private MembersSweep() {}

    /**
     * One line: a fleet of this size joins, is quiet, loses a member, has a tenth stopped for 1.9
     * s, is cut in halves for 6 s.
     */
    public static List<Object> row(
            String rules, MembershipConfig tuning, int members, double loss, long[] seeds) {
        List<Double> deaths = new ArrayList<>();
        List<Double> healed = new ArrayList<>();
        double suspicions = 0;
        double falseDeaths = 0;
        int stoppedDeaths = 0;
        double packets = 0;
        double bytes = 0;
        int broken = 0;
        for (long seed : seeds) {
            MembersModel m = new MembersModel(members, 2, tuning, seed);
            m.untilWhole(JOIN);
            m.pass(2000);
            m.loss(loss);
            m.countAnew();
            m.pass(QUIET);
            packets += m.packets() / QUIET * 1000 / members;
            bytes += m.bytes() / QUIET * 1000 / members;
            suspicions += m.falseSuspicions() * HOUR / QUIET;
            falseDeaths += m.falseDeaths() * HOUR / QUIET;
            m.kill(members - 1);
            deaths.add(m.until(members - 1, MemberStatus.DEAD, MOST));
            m.pass(3000);
            m.countAnew();
            IntStream.range(0, Math.max(1, members / 10)).forEach(n -> m.stop(n, true));
            m.pass(STOP);
            IntStream.range(0, Math.max(1, members / 10)).forEach(n -> m.stop(n, false));
            m.pass(6000);
            stoppedDeaths += m.falseDeaths();
            m.cut((from, to) -> from % 2 != to % 2);
            m.pass(CUT);
            m.cut((from, to) -> false);
            m.loss(0);
            healed.add(m.untilWhole(MOST));
            broken += m.broken().size();
        }
        return List.of(
                rules,
                members,
                loss,
                median(deaths),
                worst(deaths),
                Math.round(suspicions / seeds.length),
                Math.round(falseDeaths / seeds.length),
                stoppedDeaths,
                median(healed),
                worst(healed),
                Math.round(10 * packets / seeds.length) / 10.0,
                Math.round(bytes / seeds.length),
                broken);
    }

    private static long median(List<Double> values) {
        return Math.round(PairedComparison.median(values.stream().mapToDouble(x -> x).toArray()));
    }

    private static long worst(List<Double> values) {
        return Math.round(values.stream().mapToDouble(x -> x).max().orElse(0));
    }
}
