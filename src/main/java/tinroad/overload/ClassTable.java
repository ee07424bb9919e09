package tinroad.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.DoubleBinaryOperator;
import java.util.stream.IntStream;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.RequestClass;

/**
 * The request classes by slot, and sums over them, kept up to date with every sample: no event
 * walks over all classes. A change is staged in a version beside the current one, which receives
 * all samples meanwhile, and replaces it at once. Knows the time only from {@link #advance}, and
 * nothing of what the sums are used for.
 */
final class ClassTable {
    /** The specs of one version, their statistics, where there are any, and the sums. */
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

        Version(Version before) {
            specs = before.specs.nextVersion();
            statistics = before.statistics.nextVersion();
            size = before.size;
            runMillis = new CompensatedSum(before.runMillis);
            calmRunMillis = new CompensatedSum(before.calmRunMillis);
            recentRequests = new CompensatedSum(before.recentRequests);
            weight = new CompensatedSum(before.weight);
        }

        void decay(double share) {
            recentRequests.scale(share);
            weight.scale(share);
        }
    }

    private final LearnedStatistics learned;
    private final double spanMillis;
    private final boolean weightByWork;

    /** No request, change or restored value yet. */
    private boolean untouched = true;

    private Version current = new Version();
    private Version staged;
    private double nowMillis;
    private final UnderservedClasses underserved;

    /**
     * @param spanMillis time in which recent counts fall to their e-th part
     * @param lag how far behind a class is by its ratio of requests answered in time and the worst
     *     ratio
     * @param weightByWork a class's priority weight is for each ms of its run
     */
    ClassTable(
            List<RequestClass> specs,
            LearnedStatistics learned,
            double spanMillis,
            DoubleBinaryOperator lag,
            boolean weightByWork,
            double nowMillis) {
        this.learned = learned;
        this.spanMillis = spanMillis;
        underserved = new UnderservedClasses(lag);
        this.weightByWork = weightByWork;
        this.nowMillis = nowMillis;
        for (RequestClass requestClass : specs) {
            put(current, current.size, requestClass, null);
        }
    }

    /** Time passes. */
    void advance(double eventAtMillis) {
        double share = Math.exp((nowMillis - eventAtMillis) / spanMillis);
        nowMillis = eventAtMillis;
        current.decay(share);
        if (staged != null) {
            staged.decay(share);
        }
    }

    /** The class in this slot, or null. */
    RequestClass at(int slot) {
        return current.specs.get(slot);
    }

    /**
     * The classes with samples or restored values. Until the first request, change or restored
     * value: all, with what is assumed of them.
     */
    List<ClassStatistics> measuredClasses() {
        if (untouched) {
            return IntStream.range(0, current.specs.size()).mapToObj(learned::unmeasured).toList();
        }
        List<ClassStatistics> known = new ArrayList<>();
        current.statistics.forEach(
                statistics -> {
                    if (statistics.measured) {
                        known.add(statistics);
                    }
                });
        return known;
    }

    /** How many classes there are. */
    int size() {
        return current.size;
    }

    /** What an answer of this class adds to the operators' objective, before any bonus. */
    double weight(ClassStatistics statistics, RequestClass requestClass) {
        return requestClass.priorityWeight()
                * (weightByWork ? learned.runMillis(statistics, requestClass) : 1);
    }

    /** Requests lately, over all classes. */
    double totalRequests() {
        return current.recentRequests.value();
    }

    /** Their weights added up. */
    double totalWeight() {
        return current.weight.value();
    }

    /** Requests of this class lately. */
    double recentRequests(ClassStatistics statistics) {
        statistics.decay(nowMillis, spanMillis);
        return statistics.recentRequests;
    }

    /** Mean of the classes' run latencies over their calm baselines. */
    double slowdown() {
        double calm = current.calmRunMillis.value();
        return calm > 0 ? current.runMillis.value() / calm : 1;
    }

    /**
     * This class's share of the weight of the classes served worst, 0 to 1; 0 for a class that was
     * removed.
     */
    double lagShare(ClassStatistics statistics) {
        return isCurrent(statistics)
                ? underserved.lagShare(statistics, current.size, nowMillis)
                : 0;
    }

    // --- samples ---

    /** A request of the class in this slot has arrived. */
    ClassStatistics requestArrived(int slot) {
        ClassStatistics statistics = statisticsAt(slot);
        statistics.decay(nowMillis, spanMillis);
        addIfCurrent(statistics, -1);
        statistics.recentRequests++;
        addIfCurrent(statistics, 1);
        underserved.add(statistics, nowMillis + spanMillis * Math.log(statistics.recentRequests));
        return statistics;
    }

    /** One of them was answered in time. */
    void servedInTime(ClassStatistics statistics) {
        statistics.decay(nowMillis, spanMillis);
        statistics.recentServed++;
        underserved.update(statistics);
    }

    /** Updates the statistics of the class in this slot. */
    void update(int slot, BiConsumer<ClassStatistics, RequestClass> how) {
        update(statisticsAt(slot), at(slot), how);
    }

    /** The same for the class that an active request arrived under. */
    void update(
            ClassStatistics statistics,
            RequestClass requestClass,
            BiConsumer<ClassStatistics, RequestClass> how) {
        statistics.decay(nowMillis, spanMillis);
        addIfCurrent(statistics, -1);
        how.accept(statistics, requestClass);
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
                // Whatever was learned in this slot is of another class.
                staged.statistics.set(slot, null);
            }
            put(staged, slot, change.spec(), staged.statistics.get(slot));
        }
    }

    private void put(
            Version version, int slot, RequestClass requestClass, ClassStatistics statistics) {
        if (statistics != null) {
            statistics.decay(nowMillis, spanMillis);
        }
        RequestClass before = version.specs.get(slot);
        add(version, before, statistics, -1);
        version.specs.set(slot, requestClass);
        add(version, requestClass, statistics, 1);
        version.size += (requestClass == null ? 0 : 1) - (before == null ? 0 : 1);
    }

    /** The staged version becomes the current one. */
    void commit() {
        if (staged != null) {
            current = staged;
            staged = null;
            underserved.retain(this::isCurrent);
        }
    }

    /** Drops the staged version. */
    void discardStaged() {
        staged = null;
    }

    /** How often a slot was read, by which tests bound the cost of an event. */
    long reads() {
        return current.specs.reads() + current.statistics.reads();
    }
}
