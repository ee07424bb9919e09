package tinroad.lab.schedule;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.stream.DoubleStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.Jump;
import tinroad.lab.script.Script.Population;
import tinroad.lab.script.Script.RequestClass;

/**
 * All requests and faults of a run with their times, drawn at random from a script. The same script
 * and seed give the same schedule, whichever program is run against it.
 */
public final class Schedule {
    private static final double MEDIAN_MEMORY_KB = 24;
    private static final double MEMORY_SIGMA = 0.6;
    private static final int MIN_BODY_BYTES = 16;
    private static final int BODY_SPAN_BYTES = 240;

    private final Script script;
    private final long seed;
    private final List<PlannedRequest> requests;
    private final List<FaultEvent> faultEvents;

    private Schedule(Script script, long seed) {
        this.script = script;
        this.seed = seed;
        requests = List.copyOf(drawRequests());
        faultEvents = List.copyOf(drawFaultEvents());
    }

    /** Draws the schedule of a script and a seed. */
    public static Schedule of(Script script, long seed) {
        return new Schedule(script, seed);
    }

    /** The script that it was drawn from. */
    public Script script() {
        return script;
    }

    /** The seed that it was drawn with. */
    public long seed() {
        return seed;
    }

    /** All requests, in the order of their times. */
    public List<PlannedRequest> requests() {
        return requests;
    }

    /** All faults, in the order of their times. */
    public List<FaultEvent> faultEvents() {
        return faultEvents;
    }

    /** The zone of a gateway or of a proxy. */
    public int zone(int number) {
        return number % script.fleet().zones();
    }

    /** When the first fault or jump of the load begins; NaN if there is none. */
    public double firstFault() {
        return DoubleStream.concat(
                        faultEvents.stream().mapToDouble(FaultEvent::at),
                        script.load().jumps().stream().mapToDouble(Jump::at))
                .min()
                .orElse(Double.NaN);
    }

    /**
     * Mean work in ms of a request that is read once and run once. The load is a share of what the
     * cores can do, counted with this cost: at load 1 they are fully used.
     */
    public static double meanCost(Script script) {
        double totalPart = script.classes().stream().mapToDouble(RequestClass::part).sum();
        return script.classes().stream().mapToDouble(k -> k.part() * k.work()).sum()
                / totalPart
                * (1 + script.engine().read());
    }

    /** Hash over every request and fault: equal for equal schedules and different for others. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            requests.forEach(r -> sha.update(r.toString().getBytes(StandardCharsets.UTF_8)));
            faultEvents.forEach(e -> sha.update(e.toString().getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            // Can't happen: every Java platform has it.
            throw new IllegalStateException(e);
        }
    }

    private List<PlannedRequest> drawRequests() {
        UniformRandomProvider arrivalRandom = Draw.stream(seed, "arrivals");
        UniformRandomProvider requestRandom = Draw.stream(seed, "requests");
        DoubleSupplier gaps = PortableSamplers.exponential(arrivalRandom);
        IntSupplier member = zipfRanks(script.members(), requestRandom);
        IntSupplier subject = zipfRanks(script.subjects(), requestRandom);
        DoubleSupplier memory =
                PortableSamplers.logNormal(
                        requestRandom, StrictMath.log(MEDIAN_MEMORY_KB), MEMORY_SIGMA);
        DoubleSupplier serviceTimeFactor = serviceTimeFactors(requestRandom);
        double fullLoadPerMs = script.fleet().power() / meanCost(script);
        double peakPerMs = script.load().peak() * fullLoadPerMs;
        List<PlannedRequest> drawn = new ArrayList<>();
        for (double t = gaps.getAsDouble() / peakPerMs;
                t < script.length();
                t += gaps.getAsDouble() / peakPerMs) {
            // Thinning, as the rate varies: candidates arrive at the peak rate, and each is
            // accepted
            // with the ratio of the rate at its time to the peak rate.
            if (arrivalRandom.nextDouble() * peakPerMs <= script.load().at(t) * fullLoadPerMs) {
                int kind = classAt(requestRandom.nextDouble());
                drawn.add(
                        new PlannedRequest(
                                drawn.size(),
                                t,
                                kind,
                                member.getAsInt(),
                                subject.getAsInt(),
                                script.classes().get(kind).work() * serviceTimeFactor.getAsDouble(),
                                requestRandom.nextInt(script.callers().proxies()),
                                requestRandom.nextDouble(),
                                Math.min(1900, Math.max(0.1, memory.getAsDouble())),
                                MIN_BODY_BYTES + requestRandom.nextInt(BODY_SPAN_BYTES)));
            }
        }
        return drawn;
    }

    private int classAt(double quantile) {
        double remaining =
                quantile * script.classes().stream().mapToDouble(RequestClass::part).sum();
        int kind = 0;
        while (kind < script.classes().size() - 1
                && remaining >= script.classes().get(kind).part()) {
            remaining -= script.classes().get(kind++).part();
        }
        return kind;
    }

    /** Draws numbers from 0 by a Zipf law: 0 is the most frequent. */
    private static IntSupplier zipfRanks(Population population, UniformRandomProvider random) {
        return PortableSamplers.zipf(random, population.count(), population.skew());
    }

    /** Draws factors with mean 1 for the work of a run, by the script's service-time law. */
    private DoubleSupplier serviceTimeFactors(UniformRandomProvider random) {
        double sigma = script.engine().sigma();
        return switch (script.engine().law()) {
            case CONSTANT -> () -> 1;
            case EXPONENTIAL -> PortableSamplers.exponential(random);
            case LOGNORMAL -> PortableSamplers.logNormal(random, -sigma * sigma / 2, sigma);
        };
    }

    private List<FaultEvent> drawFaultEvents() {
        List<FaultEvent> drawn = new ArrayList<>();
        for (int i = 0; i < script.faults().size(); i++) {
            Fault fault = script.faults().get(i);
            UniformRandomProvider random = Draw.stream(seed, "fault " + i);
            if (fault.action() == FaultAction.ROSTER_DOWN) {
                drawn.add(
                        new FaultEvent(
                                fault.at(), fault.at() + fault.length(), -1, 0, true, i, fault));
                continue;
            }
            List<Integer> targets = targets(fault, random);
            int unnotified = (int) Math.round(fault.unnotifiedShare() * targets.size());
            for (int n = 0; n < targets.size(); n++) {
                double at = fault.at() + random.nextDouble() * fault.spreadMillis();
                double awayMillis =
                        fault.minAwayMillis()
                                + random.nextDouble()
                                        * (fault.maxAwayMillis() - fault.minAwayMillis());
                boolean comesBack =
                        fault.action().ends() || fault.action() == FaultAction.ENGINE_CRASH;
                drawn.add(
                        new FaultEvent(
                                at,
                                at + (comesBack ? awayMillis : fault.length()),
                                targets.get(n),
                                awayMillis,
                                n >= unnotified,
                                i,
                                fault));
            }
        }
        drawn.sort(
                Comparator.comparingDouble(FaultEvent::at)
                        .thenComparingInt(FaultEvent::faultNumber));
        return drawn;
    }

    private List<Integer> targets(Fault fault, UniformRandomProvider random) {
        List<Integer> targets = new ArrayList<>();
        for (int g = 0; g < script.fleet().gateways(); g++) {
            if ((fault.gateways().isEmpty() || fault.gateways().contains(g))
                    && (fault.zone() < 0 || zone(g) == fault.zone())) {
                targets.add(g);
            }
        }
        ListSampler.shuffle(random, targets);
        return new ArrayList<>(
                targets.subList(0, (int) Math.round(fault.share() * targets.size())));
    }
}
