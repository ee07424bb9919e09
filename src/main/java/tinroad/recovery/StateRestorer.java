package tinroad.recovery;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import tinroad.overload.Controller.Estimate;
import tinroad.state.DecayedValue;
import tinroad.state.LearnedValue;
import tinroad.state.Provenance;
import tinroad.state.Snapshot;
import tinroad.state.SnapshotSelector;

/**
 * What one life uses of the lives before, and what it leaves to the next. Every value that is used
 * carries when it was learned and by whom; nothing is used beyond its age, and nothing gets younger
 * by being saved. Times in Unix ms.
 */
public final class StateRestorer implements RestoredState {
    private final String name;
    private final Snapshot before;
    private final SnapshotSelector.StartMode begin;
    private final long life;
    private final double oldest;
    private final double halfLife;
    private final Provenance provenance;
    private final Map<String, LearnedValue> used = new HashMap<>();
    private long generation;

    /**
     * A life of the gateway {@code name} that begins by this decision.
     *
     * @param oldest ms, the age beyond which nothing is used
     * @param halfLife ms in which half of what was learned fades
     */
    public StateRestorer(
            String name,
            SnapshotSelector.Decision decision,
            long life,
            double oldest,
            double halfLife) {
        this.name = name;
        this.life = life;
        this.oldest = oldest;
        this.halfLife = halfLife;
        before = decision.snapshot().orElse(null);
        begin = decision.startMode();
        provenance = new Provenance(life);
    }

    @Override
    public boolean distrustsState() {
        return begin == SnapshotSelector.StartMode.COLD;
    }

    @Override
    public Map<String, RestoredValue> restore(Map<String, Estimate> priors, double nowMillis) {
        Map<String, RestoredValue> all = new LinkedHashMap<>();
        if (before != null) {
            priors.forEach(
                    (what, prior) -> {
                        LearnedValue r = before.values().get(what);
                        DecayedValue aged =
                                r == null
                                        ? null
                                        : DecayedValue.of(
                                                        r,
                                                        nowMillis,
                                                        prior.value(),
                                                        halfLife,
                                                        oldest)
                                                .orElse(null);
                        if (aged != null) {
                            used.put(what, r);
                            all.put(
                                    what,
                                    new RestoredValue(
                                            new Estimate(aged.value(), aged.weight()),
                                            aged.ageMillis(),
                                            aged.incarnation()));
                        }
                    });
        }
        return all;
    }

    @Override
    public void started(Map<String, Estimate> values) {
        provenance.begin(values, used);
    }

    @Override
    public Map<String, Double> executedIds() {
        return before == null ? Map.of() : before.executedIds();
    }

    @Override
    public boolean evacuated() {
        return before != null && before.evacuated();
    }

    @Override
    public long catalogEpoch() {
        return before == null ? 0 : before.catalogEpoch();
    }

    @Override
    public long catalogNumber() {
        return before == null ? 0 : before.catalogNumber();
    }

    @Override
    public long incarnation() {
        return life;
    }

    @Override
    public String startMode() {
        return begin.name().toLowerCase(Locale.ROOT);
    }

    /**
     * What this life leaves, as it stands now: learned values, ids that ran with their due times,
     * operators' word, its catalog.
     */
    public Snapshot toSnapshot(
            double nowMillis,
            Map<String, Estimate> values,
            Map<String, Double> ran,
            boolean evacuated,
            long epoch,
            long number) {
        return new Snapshot(
                name,
                life,
                ++generation,
                nowMillis,
                evacuated,
                provenance.at(nowMillis, values),
                bounded(ran),
                epoch,
                number);
    }

    /** Guards the size of what is saved: of too many ids, those due last stay dangerous longest. */
    private static Map<String, Double> bounded(Map<String, Double> ran) {
        if (ran.size() <= Snapshot.MAX_EXECUTED_IDS) {
            return ran;
        }
        Map<String, Double> kept = new LinkedHashMap<>();
        ran.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(Snapshot.MAX_EXECUTED_IDS)
                .forEach(e -> kept.put(e.getKey(), e.getValue()));
        return kept;
    }
}
