package tinroad.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.Controller.RequestClass;

/**
 * What the controller has learned about its classes and clients. This is all that may outlive the
 * process.
 */
final class LearnedStatistics {
    /**
     * Sample count that is exported for the share of returning clients, whose samples are not
     * counted.
     */
    private static final double RETURNING_SAMPLES = 4;

    /** Without samples, a run is assumed to take this share of its class's latency objective. */
    static final double ASSUMED_RUN_SHARE = 0.25;

    /** Number of samples that the assumed run time weighs. */
    private static final double ASSUMED_RUN_SAMPLES = 2;

    /**
     * Share of the requests whose client returns while a calm server would keep its connection
     * open, 0 to 1.
     */
    double returningShare = 1;

    /** Creates the statistics of a class of which nothing is measured. */
    ClassStatistics unmeasured(int slot) {
        return new ClassStatistics(slot, ASSUMED_RUN_SAMPLES);
    }

    /**
     * Returns the expected core time of a run of this class; {@code statistics} is null if nothing
     * is measured.
     */
    double runMillis(ClassStatistics statistics, RequestClass requestClass) {
        return statistics == null || statistics.runMillis == 0
                ? ASSUMED_RUN_SHARE * requestClass.objectiveMillis()
                : statistics.runMillis;
    }

    /**
     * Returns the expected core time of a run of this class while the server is calm; {@code
     * statistics} is null if nothing is measured.
     */
    double calmRunMillis(ClassStatistics statistics, RequestClass requestClass) {
        return statistics == null || statistics.calmRunMillis == 0
                ? ASSUMED_RUN_SHARE * requestClass.objectiveMillis()
                : statistics.calmRunMillis;
    }

    /**
     * Returns everything learned, by name, each with the number of samples behind it: {@code run.0}
     * belongs to the class in slot 0.
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
     * Starts from the estimates of an earlier process, on cores that run at this share of their
     * speed. Names that belong to no class are ignored.
     */
    void restore(Map<String, Estimate> restored, double speed, ClassTable classes) {
        for (String name : restored.keySet()) {
            int slot =
                    name.matches("(run|calm)[.][0-9]{1,8}")
                            ? Integer.parseInt(name.substring(name.indexOf('.') + 1))
                            : -1;
            if (classes.at(slot) != null) {
                classes.update(
                        slot,
                        (statistics, requestClass) ->
                                restore(statistics, requestClass, restored, speed));
            }
        }
        Estimate returning = restored.get("returning");
        returningShare = isPlausible(returning) ? Math.min(1, returning.value()) : returningShare;
    }

    private void restore(
            ClassStatistics statistics,
            RequestClass requestClass,
            Map<String, Estimate> restored,
            double speed) {
        Estimate run = restored.get("run." + statistics.slot);
        Estimate calm = restored.get("calm." + statistics.slot);
        if (isPlausible(run)) {
            // A restored value of a slow day must not raise the estimate above what is expected
            // without it.
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
                && estimate.sampleCount() > 0;
    }
}
