package tinroad.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.DoubleBinaryOperator;
import java.util.stream.IntStream;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.RequestClass;

/**
 * The classes of requests by place, and what is summed over them, kept up with every sample: no
 * event walks over all classes. A change is prepared in a version beside the one that counts, which
 * hears of all samples meanwhile, and takes its place at once. Knows the time only from {@link
 * #advance}, and nothing of what the sums are used for.
 */
final class ClassTable {
    /**
     * The specs of one version, what is measured of them, where there is anything, and the sums.
     */
    private static final class Version {
        final SlotTable<RequestClass> specs;
        final SlotTable<ClassStatistics> stats;
        int size;
        final CompensatedSum run;
        final CompensatedSum calm;
        final CompensatedSum asked;
        final CompensatedSum worth;

        Version() {
            specs = new SlotTable<>();
            stats = new SlotTable<>();
            run = new CompensatedSum();
            calm = new CompensatedSum();
            asked = new CompensatedSum();
            worth = new CompensatedSum();
        }

        Version(Version before) {
            specs = before.specs.next();
            stats = before.stats.next();
            size = before.size;
            run = new CompensatedSum(before.run);
            calm = new CompensatedSum(before.calm);
            asked = new CompensatedSum(before.asked);
            worth = new CompensatedSum(before.worth);
        }

        void fade(double part) {
            asked.fade(part);
            worth.fade(part);
        }
    }

    private final LearnedStatistics learned;
    private final double span;
    private final boolean worthByWork;

    /** Nothing was asked, changed or restored yet. */
    private boolean untouched = true;

    private Version now = new Version();
    private Version staged;
    private double clock;
    private final UnderservedClasses telling;

    /**
     * @param span ms in which what was asked and served falls to its e-th part
     * @param lag how far behind a class is that has this ratio of what was asked, beside the worst
     *     ratio
     * @param worthByWork a class's worth is for each ms of its run
     */
    ClassTable(
            List<RequestClass> specs,
            LearnedStatistics learned,
            double span,
            DoubleBinaryOperator lag,
            boolean worthByWork,
            double clock) {
        this.learned = learned;
        this.span = span;
        telling = new UnderservedClasses(lag);
        this.worthByWork = worthByWork;
        this.clock = clock;
        for (RequestClass c : specs) {
            put(now, now.size, c, null);
        }
    }

    /** Time passes. */
    void advance(double to) {
        double part = Math.exp((clock - to) / span);
        clock = to;
        now.fade(part);
        if (staged != null) {
            staged.fade(part);
        }
    }

    /** The class at this place, or null. */
    RequestClass at(int place) {
        return now.specs.get(place);
    }

    /**
     * What has samples or a memory of them. Until the first request, change or memory all, with
     * what is assumed of them: that is what a memory may be of.
     */
    List<ClassStatistics> known() {
        if (untouched) {
            return IntStream.range(0, now.specs.size()).mapToObj(learned::nothing).toList();
        }
        List<ClassStatistics> known = new ArrayList<>();
        now.stats.forEach(
                s -> {
                    if (s.known) {
                        known.add(s);
                    }
                });
        return known;
    }

    /** How many there are. */
    int size() {
        return now.size;
    }

    /** What an answer of this class adds to what operators want, before any bonus. */
    double worth(ClassStatistics s, RequestClass c) {
        return c.priorityWeight() * (worthByWork ? learned.run(s, c) : 1);
    }

    /** Requests lately, over all classes. */
    double asked() {
        return now.asked.value();
    }

    /** What they would all have been worth. */
    double worth() {
        return now.worth.value();
    }

    /** Requests of this class lately. */
    double asked(ClassStatistics s) {
        s.fade(clock, span);
        return s.asked;
    }

    /** Mean of the classes' run latencies over their calm baselines. */
    double slowdown() {
        double calm = now.calm.value();
        return calm > 0 ? now.run.value() / calm : 1;
    }

    /**
     * This class's part of the weight that those served worst share; nothing for one that was taken
     * out.
     */
    double lagShare(ClassStatistics s) {
        return counts(s) ? telling.lagShare(s, now.size, clock) : 0;
    }

    // --- samples ---

    /** A request of the class at this place came. */
    ClassStatistics ask(int place) {
        ClassStatistics s = measured(place);
        s.fade(clock, span);
        addWhereCounted(s, -1);
        s.asked++;
        addWhereCounted(s, 1);
        telling.add(s, clock + span * Math.log(s.asked));
        return s;
    }

    /** One of them was served in time. */
    void serve(ClassStatistics s) {
        s.fade(clock, span);
        s.served++;
        telling.changed(s);
    }

    /** What is measured of the class at this place changes. */
    void change(int place, BiConsumer<ClassStatistics, RequestClass> how) {
        change(measured(place), at(place), how);
    }

    /** The same of a request in hand, of the class that it came under. */
    void change(ClassStatistics s, RequestClass c, BiConsumer<ClassStatistics, RequestClass> how) {
        s.fade(clock, span);
        addWhereCounted(s, -1);
        how.accept(s, c);
        addWhereCounted(s, 1);
        s.known = true;
    }

    private ClassStatistics measured(int place) {
        untouched = false;
        ClassStatistics s = now.stats.get(place);
        if (s == null) {
            s = learned.nothing(place);
            now.stats.set(place, s);
            if (staged != null) {
                staged.stats.set(place, s);
            }
        }
        return s;
    }

    private void addWhereCounted(ClassStatistics s, int sign) {
        if (counts(s)) {
            add(now, at(s.place), s, sign);
            if (staged != null) {
                add(staged, staged.specs.get(s.place), s, sign);
            }
        }
    }

    private boolean counts(ClassStatistics s) {
        return at(s.place) != null && now.stats.get(s.place) == s;
    }

    private void add(Version v, RequestClass c, ClassStatistics s, int sign) {
        if (c != null) {
            v.run.add(sign * learned.run(s, c));
            v.calm.add(sign * learned.calm(s, c));
            if (s != null) {
                v.asked.add(sign * s.asked);
                v.worth.add(sign * s.asked * worth(s, c));
            }
        }
    }

    // --- changes ---

    /** Prepares a part of a change. */
    void stage(List<ClassSlot> changes) {
        if (changes.isEmpty()) {
            return;
        }
        untouched = false;
        staged = staged == null ? new Version(now) : staged;
        for (ClassSlot change : changes) {
            int place = change.slot();
            if (change.spec() != null && at(place) == null && staged.stats.get(place) != null) {
                // Whatever was learned there is of another class.
                staged.stats.set(place, null);
            }
            put(staged, place, change.spec(), staged.stats.get(place));
        }
    }

    private void put(Version v, int place, RequestClass c, ClassStatistics s) {
        if (s != null) {
            s.fade(clock, span);
        }
        RequestClass before = v.specs.get(place);
        add(v, before, s, -1);
        v.specs.set(place, c);
        add(v, c, s, 1);
        v.size += (c == null ? 0 : 1) - (before == null ? 0 : 1);
    }

    /** What was prepared counts. */
    void commit() {
        if (staged != null) {
            now = staged;
            staged = null;
            telling.retain(this::counts);
        }
    }

    /** It does not. */
    void unstage() {
        staged = null;
    }

    /** How often a place was read. */
    long reads() {
        return now.specs.reads() + now.stats.reads();
    }
}
