package tinroad.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.Controller.RequestClass;

/** What the controller has learned of its classes and clients: all that may outlive the process. */
final class LearnedStatistics {
    /** Samples that the share of returning clients counts for, which are not counted. */
    private static final double RETURNING_SAMPLES = 4;

    /**
     * Without samples a run is assumed to take this part of its class's latency objective, which
     * weighs so many samples.
     */
    static final double FIRST_RUN_SHARE = 0.25;

    private static final double FIRST_RUN_SAMPLES = 2;

    /**
     * Share of the requests whose client comes back while a calm server would keep its connection,
     * 0 to 1.
     */
    double returningShare = 1;

    /** Statistics of a class of which nothing is measured. */
    ClassStatistics unmeasured(int slot) {
        return new ClassStatistics(slot, FIRST_RUN_SAMPLES);
    }

    /** Expected core time of a run of this class; {@code statistics} null: nothing is measured. */
    double runMillis(ClassStatistics statistics, RequestClass requestClass) {
        return statistics == null || statistics.runMillis == 0
                ? FIRST_RUN_SHARE * requestClass.objectiveMillis()
                : statistics.runMillis;
    }

    /** The same while calm. */
    double calmRunMillis(ClassStatistics statistics, RequestClass requestClass) {
        return statistics == null || statistics.calmRunMillis == 0
                ? FIRST_RUN_SHARE * requestClass.objectiveMillis()
                : statistics.calmRunMillis;
    }

    /**
     * All of it by name, each with the samples behind it: {@code run.0} is of the class in slot 0.
     */
    Map<String, Estimate> export(ClassTable classes) {
        Map<String, Estimate> estimates = new LinkedHashMap<>();
        for (ClassStatistics statistics : classes.measuredClasses()) {
            RequestClass requestClass = classes.at(statistics.slot);
            if (requestClass != null || statistics.runMillis > 0) {
                estimates.put(
                        "run." + statistics.slot,
                        new Estimate(runMillis(statistics, requestClass), statistics.runSamples));
            }
            if (requestClass != null || statistics.calmRunMillis > 0) {
                estimates.put(
                        "calm." + statistics.slot,
                        new Estimate(
                                calmRunMillis(statistics, requestClass),
                                statistics.calmRunSamples));
            }
        }
        estimates.put("returning", new Estimate(returningShare, RETURNING_SAMPLES));
        return estimates;
    }

    /**
     * Begins with what an earlier process learned, on cores of this part of their speed. What names
     * no class is left out.
     */
    void restore(Map<String, Estimate> known, double speed, ClassTable classes) {
        for (String name : known.keySet()) {
            int slot =
                    name.matches("(run|calm)[.][0-9]{1,8}")
                            ? Integer.parseInt(name.substring(name.indexOf('.') + 1))
                            : -1;
            if (classes.at(slot) != null) {
                classes.update(
                        slot,
                        (statistics, requestClass) ->
                                restore(statistics, requestClass, known, speed));
            }
        }
        Estimate back = known.get("returning");
        returningShare = isPlausible(back) ? Math.min(1, back.value()) : returningShare;
    }

    private void restore(
            ClassStatistics statistics,
            RequestClass requestClass,
            Map<String, Estimate> known,
            double speed) {
        Estimate run = known.get("run." + statistics.slot);
        Estimate calm = known.get("calm." + statistics.slot);
        if (isPlausible(run)) {
            // Guards against another day's slowness: no more is expected than without it.
            statistics.runMillis =
                    Math.min(
                            runMillis(statistics, requestClass),
                            (isPlausible(calm) ? Math.min(run.value(), calm.value()) : run.value())
                                    / speed);
        }
    }

    private static boolean isPlausible(Estimate estimate) {
        return estimate != null
                && estimate.value() > 0
                && estimate.value() < 1e9
                && estimate.weight() > 0;
    }
}
