package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.schedule.Schedule;

/**
 * Records everything that callers, engines and the lab observe during a run, in the order of
 * arrival. Written by one thread; times in ms from the beginning of the load.
 */
public final class RunHistory {
    /** A request and its outcome over all its tries. */
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
     * An interval in which a fault of the script keeps a gateway from answering: its connections
     * may break and its answers may be late.
     */
    public record ExcusedInterval(int gateway, double from, double to) {}

    /** One process of a gateway, from start to end; {@code exit} is -1 while it runs. */
    public static final class GatewayIncarnation {
        public final int gateway;
        public final int number;

        /** When its process was started; NaN where that was not recorded. */
        public double begunAt = Double.NaN;

        /**
         * When it first reported to the registry that it takes work; NaN if it never did, or where
         * that was not recorded.
         */
        public double listedAt = Double.NaN;

        public double noticedAt = Double.NaN;
        public double endedAt = Double.NaN;
        public int exit = -1;

        /** Whether a fault of the script killed it or sent it the shutdown notice. */
        public boolean endedByScript;

        public double mostMemoryMb;
        public int maxDescriptors;
        private double[] memorySumsMb = new double[2];
        private int[] memorySampleCounts = new int[2];

        GatewayIncarnation(int gateway, int number) {
            this.gateway = gateway;
            this.number = number;
        }

        /**
         * Adds a sample of the process, taken after {@code elapsedShare} of the run. Memory growth
         * is computed from the samples of the second and the last fifth.
         */
        public void addSample(double memoryMb, int descriptors, double elapsedShare) {
            mostMemoryMb = Math.max(mostMemoryMb, memoryMb);
            maxDescriptors = Math.max(maxDescriptors, descriptors);
            int fifth = (int) (5 * elapsedShare);
            if (memoryMb > 0 && (fifth == 1 || fifth == 4)) {
                memorySumsMb[fifth / 4] += memoryMb;
                memorySampleCounts[fifth / 4]++;
            }
        }

        /**
         * Mean memory in the last fifth of the run minus that in the second fifth, in MB; 0 where
         * either has no samples.
         */
        public double grownMb() {
            return memorySampleCounts[0] == 0 || memorySampleCounts[1] == 0
                    ? 0
                    : memorySumsMb[1] / memorySampleCounts[1]
                            - memorySumsMb[0] / memorySampleCounts[0];
        }
    }

    /** What is counted per gateway and second. */
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

    /** Events of the gateways, from their logs and ends, for the traces of requests. */
    public final List<Try.Step> events = new ArrayList<>();

    /** Intervals in which the lab itself was late: start and end. */
    public final List<double[]> stalls = new ArrayList<>();

    /** What belongs to no request: bytes of no known try, malformed lines, unknown ids. */
    public final List<String> strange = new ArrayList<>();

    /** Work that the engines did, in ms of a core at speed 1. */
    public double engineWork;

    /** When the last fault ended; NaN if there was none. */
    public double faultEnd = Double.NaN;

    private final int[][][] countsBySecond;

    /** An empty history for this schedule. */
    public RunHistory(Schedule plan) {
        this.plan = plan;
        requests = plan.requests().stream().map(RequestRecord::new).toList();
        countsBySecond =
                new int[Counter.values().length][plan.script().fleet().gateways()]
                        [(int) (plan.script().length() / 1000) + 61];
    }

    /** Adds the next incarnation of a gateway. */
    public GatewayIncarnation addIncarnation(int gateway) {
        GatewayIncarnation incarnation =
                new GatewayIncarnation(
                        gateway,
                        (int) incarnations.stream().filter(l -> l.gateway == gateway).count());
        incarnations.add(incarnation);
        return incarnation;
    }

    /** Records the first report to the registry that this gateway takes work. */
    public void listed(int gateway, double at) {
        incarnations.stream()
                .filter(l -> l.gateway == gateway)
                .reduce((earlier, later) -> later)
                .filter(l -> Double.isNaN(l.listedAt))
                .ifPresent(l -> l.listedAt = at);
    }

    /** Adds one to a counter; times outside of the recorded range are ignored. */
    public void count(Counter counter, int gateway, double at) {
        int[] seconds = countsBySecond[counter.ordinal()][gateway];
        if (at >= 0 && at < 1000.0 * seconds.length) {
            seconds[(int) (at / 1000)]++;
        }
    }

    /** Value of a counter in this second. */
    public int counted(Counter counter, int gateway, int second) {
        int[] seconds = countsBySecond[counter.ordinal()][gateway];
        return second >= 0 && second < seconds.length ? seconds[second] : 0;
    }
}
