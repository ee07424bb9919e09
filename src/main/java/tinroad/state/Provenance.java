package tinroad.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import tinroad.overload.Controller.Estimate;

/**
 * When, and by which life, each value was learned that a life would leave to the next. Guards
 * against old knowledge that looks fresh because it was saved again: a value that has not changed
 * keeps its time and its life, and one that was mixed with what this life saw moves toward now only
 * by the share of its samples that are this life's. Times in Unix ms.
 */
public final class Provenance {
    private final long life;

    /** What this life began with, and what of that was remembered. */
    private final Map<String, Estimate> began = new HashMap<>();

    private final Map<String, LearnedValue> remembered = new HashMap<>();
    private final Map<String, LearnedValue> left = new HashMap<>();

    /** Of the life with this number. */
    public Provenance(long life) {
        this.life = life;
    }

    /**
     * The life begins with {@code values}; those named in {@code from} were remembered, the others
     * assumed.
     */
    public void begin(Map<String, Estimate> values, Map<String, LearnedValue> from) {
        began.putAll(values);
        remembered.putAll(from);
    }

    /**
     * What to leave at {@code now}, as {@code values} stand; what was only ever assumed is left
     * out.
     */
    public Map<String, LearnedValue> at(double nowMillis, Map<String, Estimate> values) {
        Map<String, LearnedValue> all = new LinkedHashMap<>();
        values.forEach(
                (name, known) -> {
                    LearnedValue r = at(nowMillis, name, known);
                    if (r != null) {
                        all.put(name, r);
                        left.put(name, r);
                    }
                });
        return all;
    }

    private LearnedValue at(double nowMillis, String name, Estimate known) {
        Estimate first = began.get(name);
        LearnedValue before = remembered.get(name);
        if (known.equals(first)) {
            // As it was read: once more faded it would be faded twice.
            return before;
        }
        LearnedValue last = left.get(name);
        if (last != null
                && last.incarnation() == life
                && last.value() == known.value()
                && last.weight() == known.weight()) {
            return last;
        }
        double own = first == null ? known.weight() : known.weight() - first.weight();
        // Of a value without counted samples it is only known that it moved.
        double share = before == null || own <= 0 ? 1 : own / (own + first.weight());
        double learnedAt =
                before == null
                        ? nowMillis
                        : before.learnedAtMillis() + (nowMillis - before.learnedAtMillis()) * share;
        return new LearnedValue(known.value(), known.weight(), learnedAt, life);
    }
}
