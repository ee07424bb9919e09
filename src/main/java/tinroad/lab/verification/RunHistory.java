package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.schedule.Schedule;

/**
 * Everything that was seen at the ends, as it came. Filled by one thread; times in ms from the
 * beginning of the load.
 */
public final class RunHistory {
    /** What became of a request, over all its tries. */
    public static final class RequestRecord {
        public final PlannedRequest asked;
        public int tries;
        public Try.Outcome end;
        public double endedAt = Double.NaN;

        RequestRecord(PlannedRequest asked) {
            this.asked = asked;
        }
    }

    /**
     * A time in which the script keeps a gateway from answering: its connections may break, its
     * answers be late.
     */
    public record ExcusedInterval(int gateway, double from, double to) {}

    /** One life of a gateway's process; {@code exit} is -1 while it lives. */
    public static final class GatewayIncarnation {
        public final int gateway;
        public final int number;

        /**
         * When its process was started, and when the roster first heard that it takes work; NaN
         * where nobody looked, or never.
         */
        public double begunAt = Double.NaN;

        public double listedAt = Double.NaN;
        public double noticedAt = Double.NaN;
        public double endedAt = Double.NaN;
        public int exit = -1;

        /** The script ended it, or told it to end. */
        public boolean endedByScript;

        public double mostMemoryMb;
        public int mostDescriptors;
        private double[] sums = new double[2];
        private int[] counts = new int[2];

        GatewayIncarnation(int gateway, int number) {
            this.gateway = gateway;
            this.number = number;
        }

        /**
         * A look at the process, {@code part} of the day gone: its second and last fifths tell
         * whether memory grows.
         */
        public void addSample(double memoryMb, int descriptors, double part) {
            mostMemoryMb = Math.max(mostMemoryMb, memoryMb);
            mostDescriptors = Math.max(mostDescriptors, descriptors);
            int fifth = (int) (5 * part);
            if (memoryMb > 0 && (fifth == 1 || fifth == 4)) {
                sums[fifth / 4] += memoryMb;
                counts[fifth / 4]++;
            }
        }

        /**
         * Mean memory of the last fifth of the day less that of the second one, in MB; 0 where it
         * lived through only one.
         */
        public double grownMb() {
            return counts[0] == 0 || counts[1] == 0 ? 0 : sums[1] / counts[1] - sums[0] / counts[0];
        }
    }

    /** Something counted by gateway and second. */
    public enum Counter {
        CHECKS,
        CONNECTIONS,
        RUNS
    }

    public final Schedule plan;
    public final List<RequestRecord> requests;
    public final List<Try> tries = new ArrayList<>();
    public final List<ExcusedInterval> excusedIntervals = new ArrayList<>();
    public final List<GatewayIncarnation> incarnations = new ArrayList<>();

    /** Remarks on the gateways from their logs and ends, for the way of a request. */
    public final List<Try.Step> events = new ArrayList<>();

    /** The lab's own late moments: from, to. */
    public final List<double[]> stalls = new ArrayList<>();

    /** What did not fit any request: bytes that no try owns, broken lines, unknown ids. */
    public final List<String> strange = new ArrayList<>();

    public double engineWork;

    /** When the last fault ended; NaN without any. */
    public double faultEnd = Double.NaN;

    private final int[][][] counts;

    /** An empty ledger of this plan. */
    public RunHistory(Schedule plan) {
        this.plan = plan;
        requests = plan.requests().stream().map(RequestRecord::new).toList();
        counts =
                new int[Counter.values().length][plan.script().fleet().gateways()]
                        [(int) (plan.script().length() / 1000) + 61];
    }

    /** Another life of a gateway. */
    public GatewayIncarnation addIncarnation(int gateway) {
        GatewayIncarnation life =
                new GatewayIncarnation(
                        gateway,
                        (int) incarnations.stream().filter(l -> l.gateway == gateway).count());
        incarnations.add(life);
        return life;
    }

    /** The roster heard that this gateway takes work. */
    public void listed(int gateway, double at) {
        incarnations.stream()
                .filter(l -> l.gateway == gateway)
                .reduce((earlier, later) -> later)
                .filter(l -> Double.isNaN(l.listedAt))
                .ifPresent(l -> l.listedAt = at);
    }

    /** Counts one more. */
    public void count(Counter what, int gateway, double at) {
        int[] seconds = counts[what.ordinal()][gateway];
        if (at >= 0 && at < 1000.0 * seconds.length) {
            seconds[(int) (at / 1000)]++;
        }
    }

    /** How many in this second. */
    public int counted(Counter what, int gateway, int second) {
        int[] seconds = counts[what.ordinal()][gateway];
        return second >= 0 && second < seconds.length ? seconds[second] : 0;
    }
}
