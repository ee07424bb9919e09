package tinroad.overload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import tinroad.overload.ClassStatistics.ClientTimeout;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.Controller.RequestClass;

/**
 * What the module has learned of its classes and callers: all that may outlive the process. Times
 * in ms.
 */
final class LearnedStatistics {
    /** What the part of callers that come back weighs, whose samples are not counted. */
    private static final double UNCOUNTED = 4;

    /** So many waits are remembered for each class. */
    private static final int WAITS = 4;

    /**
     * Without samples a run is assumed to take this part of its class's latency objective, which
     * weighs so many samples.
     */
    static final double FIRST_RUN_SHARE = 0.25;

    private static final double FIRST_RUN_SAMPLES = 2;

    /**
     * Part of the requests whose caller comes back while a calm server would keep its connection.
     */
    double returning = 1;

    /** Nothing of the class at this place. */
    ClassStatistics nothing(int place) {
        return new ClassStatistics(place, FIRST_RUN_SAMPLES);
    }

    /** Expected run of this class; {@code s} null: nothing is measured. */
    double run(ClassStatistics s, RequestClass c) {
        return s == null || s.run == 0 ? FIRST_RUN_SHARE * c.objectiveMillis() : s.run;
    }

    /** The same while calm. */
    double calm(ClassStatistics s, RequestClass c) {
        return s == null || s.calm == 0 ? FIRST_RUN_SHARE * c.objectiveMillis() : s.calm;
    }

    /** A new wait displaces those that are seldom seen. */
    static void newWait(ClassStatistics s, double wait) {
        if (s.waits.size() < WAITS) {
            s.waits = s.waits.isEmpty() ? new ArrayList<>(WAITS) : s.waits;
            s.waits.add(new ClientTimeout(wait));
            return;
        }
        s.waits.forEach(p -> p.votes -= 1.0 / WAITS);
        s.waits.removeIf(p -> p.votes <= 0);
    }

    /** All of it by name, each with the samples behind it: {@code run.0} is of the class at 0. */
    Map<String, Estimate> export(ClassTable classes) {
        Map<String, Estimate> all = new LinkedHashMap<>();
        for (ClassStatistics s : classes.known()) {
            RequestClass c = classes.at(s.place);
            if (c != null || s.run > 0) {
                all.put("run." + s.place, new Estimate(run(s, c), s.runs));
            }
            if (c != null || s.calm > 0) {
                all.put("calm." + s.place, new Estimate(calm(s, c), s.calmRuns));
            }
        }
        all.put("returning", new Estimate(returning, UNCOUNTED));
        return all;
    }

    /**
     * Begins with what an earlier life knew, on cores of this part of their speed. What no class
     * can be is left out.
     */
    void restore(Map<String, Estimate> known, double speed, ClassTable classes) {
        for (String name : known.keySet()) {
            int place =
                    name.matches("(run|calm)[.][0-9]{1,8}")
                            ? Integer.parseInt(name.substring(name.indexOf('.') + 1))
                            : -1;
            if (classes.at(place) != null) {
                classes.change(place, (s, c) -> restore(s, c, known, speed));
            }
        }
        Estimate back = known.get("returning");
        returning = usable(back) ? Math.min(1, back.value()) : returning;
    }

    private void restore(
            ClassStatistics s, RequestClass c, Map<String, Estimate> known, double speed) {
        Estimate run = known.get("run." + s.place);
        Estimate calm = known.get("calm." + s.place);
        if (usable(run)) {
            // Guards against another day's slowness: no more is expected than without any memory.
            s.run =
                    Math.min(
                            run(s, c),
                            (usable(calm) ? Math.min(run.value(), calm.value()) : run.value())
                                    / speed);
        }
    }

    private static boolean usable(Estimate k) {
        return k != null && k.value() > 0 && k.value() < 1e9 && k.weight() > 0;
    }
}
