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
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.Jump;
import tinroad.lab.script.Script.Population;
import tinroad.lab.script.Script.RequestClass;

/**
 * A script drawn with a seed. The same two give the same plan, whatever program it is played
 * against.
 */
public final class Schedule {
    private static final double MEMORY_KB = 24;
    private static final double MEMORY_SIGMA = 0.6;
    private static final int LEAST_BODY = 16;
    private static final int BODY_SPAN = 240;

    private final Script script;
    private final long seed;
    private final List<PlannedRequest> requests;
    private final List<FaultEvent> faultEvents;

    private Schedule(Script script, long seed) {
        this.script = script;
        this.seed = seed;
        requests = List.copyOf(drawRequests());
        faultEvents = List.copyOf(drawHits());
    }

    /** The plan of this script and seed. */
    public static Schedule of(Script script, long seed) {
        return new Schedule(script, seed);
    }

    /** What it was drawn from. */
    public Script script() {
        return script;
    }

    /** What it was drawn with. */
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

    /** When the first fault or jump of the load begins; NaN without any. */
    public double firstFault() {
        return DoubleStream.concat(
                        faultEvents.stream().mapToDouble(FaultEvent::at),
                        script.load().jumps().stream().mapToDouble(Jump::at))
                .min()
                .orElse(Double.NaN);
    }

    /**
     * What a request that is read and run once takes of the cores in the mean, in ms: at load 1
     * they have nothing left.
     */
    public static double meanCost(Script script) {
        double parts = script.classes().stream().mapToDouble(RequestClass::part).sum();
        return script.classes().stream().mapToDouble(k -> k.part() * k.work()).sum()
                / parts
                * (1 + script.engine().read());
    }

    /** The same for the same plan, and another for another: of every request and every fault. */
    public String digest() {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            requests.forEach(r -> sha.update(r.toString().getBytes(StandardCharsets.UTF_8)));
            faultEvents.forEach(h -> sha.update(h.toString().getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(sha.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            // Can't happen: every Java platform has it.
            throw new IllegalStateException(e);
        }
    }

    private List<PlannedRequest> drawRequests() {
        UniformRandomProvider random = Draw.stream(seed, "arrivals");
        UniformRandomProvider what = Draw.stream(seed, "requests");
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        IntSupplier member = crowd(script.members(), what);
        IntSupplier subject = crowd(script.subjects(), what);
        ContinuousSampler memory =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(what),
                        Math.log(MEMORY_KB),
                        MEMORY_SIGMA);
        DoubleSupplier law = law(what);
        double perMs = script.fleet().power() / meanCost(script);
        double most = script.load().peak() * perMs;
        List<PlannedRequest> drawn = new ArrayList<>();
        for (double t = gaps.sample() / most; t < script.length(); t += gaps.sample() / most) {
            // By thinning: the rate differs from moment to moment.
            if (random.nextDouble() * most <= script.load().at(t) * perMs) {
                int kind = kind(what.nextDouble());
                drawn.add(
                        new PlannedRequest(
                                drawn.size(),
                                t,
                                kind,
                                member.getAsInt(),
                                subject.getAsInt(),
                                script.classes().get(kind).work() * law.getAsDouble(),
                                what.nextInt(script.callers().proxies()),
                                what.nextDouble(),
                                Math.min(1900, Math.max(0.1, memory.sample())),
                                LEAST_BODY + what.nextInt(BODY_SPAN)));
            }
        }
        return drawn;
    }

    private int kind(double at) {
        double left = at * script.classes().stream().mapToDouble(RequestClass::part).sum();
        int kind = 0;
        while (kind < script.classes().size() - 1 && left >= script.classes().get(kind).part()) {
            left -= script.classes().get(kind++).part();
        }
        return kind;
    }

    /** Counted from 0, the most frequent one first. */
    private static IntSupplier crowd(Population crowd, UniformRandomProvider random) {
        SharedStateDiscreteSampler zipf =
                RejectionInversionZipfSampler.of(random, crowd.count(), crowd.skew());
        return () -> zipf.sample() - 1;
    }

    /** Draws of a law with the mean 1. */
    private DoubleSupplier law(UniformRandomProvider random) {
        double sigma = script.engine().sigma();
        ContinuousSampler lognormal =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random), -sigma * sigma / 2, sigma);
        ZigguratSampler.Exponential exponential = ZigguratSampler.Exponential.of(random);
        return switch (script.engine().law()) {
            case CONSTANT -> () -> 1;
            case EXPONENTIAL -> exponential::sample;
            case LOGNORMAL -> lognormal::sample;
        };
    }

    private List<FaultEvent> drawHits() {
        List<FaultEvent> drawn = new ArrayList<>();
        for (int i = 0; i < script.faults().size(); i++) {
            Fault t = script.faults().get(i);
            UniformRandomProvider random = Draw.stream(seed, "fault " + i);
            if (t.action() == FaultAction.ROSTER_DOWN) {
                drawn.add(new FaultEvent(t.at(), t.at() + t.length(), -1, 0, true, i, t));
                continue;
            }
            List<Integer> targets = targets(t, random);
            int missed = (int) Math.round(t.unnotifiedShare() * targets.size());
            for (int n = 0; n < targets.size(); n++) {
                double at = t.at() + random.nextDouble() * t.spreadMillis();
                double away =
                        t.minAwayMillis()
                                + random.nextDouble() * (t.maxAwayMillis() - t.minAwayMillis());
                boolean back = t.action().ends() || t.action() == FaultAction.ENGINE_CRASH;
                drawn.add(
                        new FaultEvent(
                                at,
                                at + (back ? away : t.length()),
                                targets.get(n),
                                away,
                                n >= missed,
                                i,
                                t));
            }
        }
        drawn.sort(
                Comparator.comparingDouble(FaultEvent::at)
                        .thenComparingInt(FaultEvent::faultNumber));
        return drawn;
    }

    private List<Integer> targets(Fault t, UniformRandomProvider random) {
        List<Integer> targets = new ArrayList<>();
        for (int g = 0; g < script.fleet().gateways(); g++) {
            if ((t.gateways().isEmpty() || t.gateways().contains(g))
                    && (t.zone() < 0 || zone(g) == t.zone())) {
                targets.add(g);
            }
        }
        ListSampler.shuffle(random, targets);
        return new ArrayList<>(targets.subList(0, (int) Math.round(t.share() * targets.size())));
    }
}
