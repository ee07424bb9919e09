package tinroad.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.DoubleBinaryOperator;
import java.util.stream.IntStream;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.RequestClass;

/**
 * The request classes by slot, and sums over them. The sums are updated with every sample, so that
 * no event walks over all classes. A change is staged in a version beside the current one, which
 * receives all samples meanwhile and replaces the current one at once. The table knows the time
 * only from {@link #advance}, and does not know what the sums are used for.
 */
final class ClassTable {
    /**
     * One version of the table: the specs of the classes, their statistics, where there are any,
     * and the sums.
     */
    private static final class Version {
        final SlotTable<RequestClass> specs;
        final SlotTable<ClassStatistics> statistics;
        int size;
        final CompensatedSum runMillis;
        final CompensatedSum calmRunMillis;
        final CompensatedSum recentRequests;
        final CompensatedSum weight;

        Version() {
            specs = new SlotTable<>();
            statistics = new SlotTable<>();
            runMillis = new CompensatedSum();
            calmRunMillis = new CompensatedSum();
            recentRequests = new CompensatedSum();
            weight = new CompensatedSum();
        }

        Version(Version previous) {
            specs = previous.specs.nextVersion();
            statistics = previous.statistics.nextVersion();
            size = previous.size;
            runMillis = new CompensatedSum(previous.runMillis);
            calmRunMillis = new CompensatedSum(previous.calmRunMillis);
            recentRequests = new CompensatedSum(previous.recentRequests);
            weight = new CompensatedSum(previous.weight);
        }

        void decay(double factor) {
            recentRequests.scale(factor);
            weight.scale(factor);
        }
    }

    private final LearnedStatistics learned;
    private final double timeConstantMillis;
    private final boolean weightByWork;

    /** Whether there was no request, change or restored value yet. */
    private boolean untouched = true;

    private Version current = new Version();
    private Version staged;
    private double nowMillis;
    private final UnderservedClasses underserved;

    /**
     * @param timeConstantMillis time in which recent counts decay to 1/e
     * @param lag computes how far a class is behind from its ratio of requests answered in time and
     *     the worst ratio
     * @param weightByWork whether a class's priority weight is for each ms of its run
     */
    ClassTable(
            List<RequestClass> specs,
            LearnedStatistics learned,
            double timeConstantMillis,
            DoubleBinaryOperator lag,
            boolean weightByWork,
            double nowMillis) {
        this.learned = learned;
        this.timeConstantMillis = timeConstantMillis;
        underserved = new UnderservedClasses(lag);
        this.weightByWork = weightByWork;
        this.nowMillis = nowMillis;
        for (RequestClass requestClass : specs) {
            put(current, current.size, requestClass, null);
        }
    }

    /** Advances time; the sums of recent requests decay. */
    void advance(double eventAtMillis) {
        double factor = Math.exp((nowMillis - eventAtMillis) / timeConstantMillis);
        nowMillis = eventAtMillis;
        current.decay(factor);
        if (staged != null) {
            staged.decay(factor);
        }
    }

    /** Returns the class in this slot, or null. */
    RequestClass at(int slot) {
        return current.specs.get(slot);
    }

    /**
     * Returns the classes with samples or restored values. Until the first request, change or
     * restored value it returns all classes, with what is assumed of them.
     */
    List<ClassStatistics> measuredClasses() {
        if (untouched) {
            return IntStream.range(0, current.specs.size()).mapToObj(learned::unmeasured).toList();
        }
        List<ClassStatistics> measuredStatistics = new ArrayList<>();
        current.statistics.forEach(
                statistics -> {
                    if (statistics.measured) {
                        measuredStatistics.add(statistics);
                    }
                });
        return measuredStatistics;
    }

    /** Returns the number of classes. */
    int size() {
        return current.size;
    }

    /** Returns what an answer of this class adds to the operators' objective, before any bonus. */
    double weight(ClassStatistics statistics, RequestClass requestClass) {
        return requestClass.priorityWeight()
                * (weightByWork ? learned.runMillis(statistics, requestClass) : 1);
    }

    /** Returns the decaying count of recent requests over all classes. */
    double totalRequests() {
        return current.recentRequests.value();
    }

    /** Returns the sum of the weights of these requests. */
    double totalWeight() {
        return current.weight.value();
    }

    /** Returns the decaying count of recent requests of this class. */
    double recentRequests(ClassStatistics statistics) {
        statistics.decay(nowMillis, timeConstantMillis);
        return statistics.recentRequests;
    }

    /** Returns the mean run time over all classes divided by the mean of their calm baselines. */
    double slowdown() {
        double calm = current.calmRunMillis.value();
        return calm > 0 ? current.runMillis.value() / calm : 1;
    }

    /**
     * Returns this class's share of the weight of the classes served worst, 0 to 1; 0 for a class
     * that was removed.
     */
    double lagShare(ClassStatistics statistics) {
        return isCurrent(statistics)
                ? underserved.lagShare(statistics, current.size, nowMillis)
                : 0;
    }

    // --- samples ---

    /** Counts a request for the class in this slot and returns the statistics of the class. */
    ClassStatistics requestArrived(int slot) {
        ClassStatistics statistics = statisticsAt(slot);
        statistics.decay(nowMillis, timeConstantMillis);
        addIfCurrent(statistics, -1);
        statistics.recentRequests++;
        addIfCurrent(statistics, 1);
        underserved.add(
                statistics, nowMillis + timeConstantMillis * Math.log(statistics.recentRequests));
        return statistics;
    }

    /** Counts a request of this class that was answered in time. */
    void servedInTime(ClassStatistics statistics) {
        statistics.decay(nowMillis, timeConstantMillis);
        statistics.recentServed++;
        underserved.update(statistics);
    }

    /** Updates the statistics of the class in this slot. */
    void update(int slot, BiConsumer<ClassStatistics, RequestClass> updater) {
        update(statisticsAt(slot), at(slot), updater);
    }

    /** Updates the statistics of the class under which an active request arrived. */
    void update(
            ClassStatistics statistics,
            RequestClass requestClass,
            BiConsumer<ClassStatistics, RequestClass> updater) {
        statistics.decay(nowMillis, timeConstantMillis);
        addIfCurrent(statistics, -1);
        updater.accept(statistics, requestClass);
        addIfCurrent(statistics, 1);
        statistics.measured = true;
    }

    private ClassStatistics statisticsAt(int slot) {
        untouched = false;
        ClassStatistics statistics = current.statistics.get(slot);
        if (statistics == null) {
            statistics = learned.unmeasured(slot);
            current.statistics.set(slot, statistics);
            if (staged != null) {
                staged.statistics.set(slot, statistics);
            }
        }
        return statistics;
    }

    private void addIfCurrent(ClassStatistics statistics, int sign) {
        if (isCurrent(statistics)) {
            add(current, at(statistics.slot), statistics, sign);
            if (staged != null) {
                add(staged, staged.specs.get(statistics.slot), statistics, sign);
            }
        }
    }

    private boolean isCurrent(ClassStatistics statistics) {
        return at(statistics.slot) != null && current.statistics.get(statistics.slot) == statistics;
    }

    private void add(
            Version version, RequestClass requestClass, ClassStatistics statistics, int sign) {
        if (requestClass != null) {
            version.runMillis.add(sign * learned.runMillis(statistics, requestClass));
            version.calmRunMillis.add(sign * learned.calmRunMillis(statistics, requestClass));
            if (statistics != null) {
                version.recentRequests.add(sign * statistics.recentRequests);
                version.weight.add(
                        sign * statistics.recentRequests * weight(statistics, requestClass));
            }
        }
    }

    // --- changes ---

    /** Stages a part of a change. */
    void stage(List<ClassSlot> changes) {
        if (changes.isEmpty()) {
            return;
        }
        untouched = false;
        staged = staged == null ? new Version(current) : staged;
        for (ClassSlot change : changes) {
            int slot = change.slot();
            if (change.spec() != null && at(slot) == null && staged.statistics.get(slot) != null) {
                // What was learned in this slot belongs to another class.
                staged.statistics.set(slot, null);
            }
            put(staged, slot, change.spec(), staged.statistics.get(slot));
        }
    }

    private void put(
            Version version, int slot, RequestClass requestClass, ClassStatistics statistics) {
        if (statistics != null) {
            statistics.decay(nowMillis, timeConstantMillis);
        }
        RequestClass previous = version.specs.get(slot);
        add(version, previous, statistics, -1);
        version.specs.set(slot, requestClass);
        add(version, requestClass, statistics, 1);
        version.size += (requestClass == null ? 0 : 1) - (previous == null ? 0 : 1);
    }

    /** Makes the staged version the current one. */
    void commit() {
        if (staged != null) {
            current = staged;
            staged = null;
            underserved.retain(this::isCurrent);
        }
    }

    /** Discards the staged version. */
    void discardStaged() {
        staged = null;
    }

    /** Number of slot reads so far, by which tests bound the cost of an event. */
    long reads() {
        return current.specs.reads() + current.statistics.reads();
    }
}
