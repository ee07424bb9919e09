package tinroad.node;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.Controller.Known;
import tinroad.core.Gateway;
import tinroad.core.Memory;
import tinroad.operator.StateSettings;
import tinroad.state.Aged;
import tinroad.state.Provenance;
import tinroad.state.Recall;
import tinroad.state.Remembered;
import tinroad.state.Saver;
import tinroad.state.Snapshot;
import tinroad.state.StateFolder;

/** What of one gateway lasts: read once before it listens, saved again and again, off the event loop. */
final class Remembering implements Memory, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");

    private final StateSettings set;
    private final String name;
    private final Snapshot before;
    private final Recall.Begin begin;
    private final long life;
    private final Saver saver;
    private final Provenance provenance;
    private final Map<String, Remembered> used = new HashMap<>();
    private long generation;

    private Remembering(StateSettings set, String name, Recall.Decision decision, long life, Saver saver) {
        this.set = set;
        this.name = name;
        this.before = decision.snapshot();
        this.begin = decision.begin();
        this.life = life;
        this.saver = saver;
        provenance = new Provenance(life);
    }

    /**
     * Reads what is there and begins the next life. Where the folder can't be used, nothing is believed and nothing saved:
     * that is told in one line, and the gateway serves as one of which nothing lasts.
     */
    static Remembering open(StateSettings set, String name, double now) {
        StateFolder folder = new StateFolder(set.folder(), set.fence(), set.keep());
        try {
            Recall.Decision d = Recall.decide(folder.candidates(), name, now, set.oldest(), folder.knownLife(), folder.fenceLife());
            long life = folder.claim(d.lastLife());
            d.setAside().forEach(text -> LOG.warn("set aside: {}", text));
            Snapshot s = d.snapshot();
            LOG.info("life {} begins {}", life, s == null ? words(d.begin())
                    : "with life " + s.life() + ", saved " + Math.round(Math.max(0, now - s.savedAt()) / 1000) + " s ago");
            return new Remembering(set, name, d, life, new Saver(folder));
        } catch (IOException e) {
            LOG.warn("state can't be used, nothing lasts: {}", e.toString());
            return new Remembering(set, name, new Recall.Decision(Recall.Begin.COLD, null, 0, List.of()), 0, null);
        }
    }

    private static String words(Recall.Begin begin) {
        return switch (begin) {
            case WARM -> "warm";
            case FIRST -> "for the first time";
            case COLD -> "cold: nothing of what was there is believed";
        };
    }

    /** Whether there was something, and nothing of it is believed. */
    boolean distrusts() {
        return begin == Recall.Begin.COLD && life > 0;
    }

    @Override
    public Map<String, Recalled> recall(Map<String, Known> priors, double now) {
        Map<String, Recalled> all = new LinkedHashMap<>();
        for (Map.Entry<String, Known> prior : before == null ? List.<Map.Entry<String, Known>>of() : priors.entrySet()) {
            Remembered r = before.values().get(prior.getKey());
            Aged aged = r == null ? null : Aged.of(r, now, prior.getValue().value(), set.halfLife(), set.oldest());
            if (aged != null) {
                used.put(prior.getKey(), r);
                all.put(prior.getKey(), new Recalled(new Known(aged.value(), aged.weight()), aged.age(), aged.life()));
            }
        }
        return all;
    }

    @Override
    public void begun(Map<String, Known> values) {
        provenance.begin(values, used);
    }

    @Override
    public Map<String, Double> ran() {
        return before == null ? Map.of() : before.ran();
    }

    @Override
    public boolean evacuated() {
        return before != null && before.evacuated();
    }

    @Override
    public long life() {
        return life;
    }

    @Override
    public String begins() {
        return begin.name().toLowerCase(Locale.ROOT);
    }

    /** Has what the gateway knows now saved; on the event loop, which does not wait for it. */
    void save(Gateway gateway) {
        Map<String, Known> values = gateway.learned();
        if (saver == null || values.isEmpty()) {
            return;
        }
        double now = gateway.now();
        saver.offer(new Snapshot(name, life, ++generation, now, gateway.evacuated(), provenance.at(now, values), bounded(gateway.ranIds())));
    }

    /** Guards the file's size: of too many, those due last stay dangerous longest. */
    private static Map<String, Double> bounded(Map<String, Double> ran) {
        if (ran.size() <= Snapshot.MOST_RAN) {
            return ran;
        }
        Map<String, Double> kept = new LinkedHashMap<>();
        ran.entrySet().stream().sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(Snapshot.MOST_RAN).forEach(e -> kept.put(e.getKey(), e.getValue()));
        return kept;
    }

    @Override
    public void close() {
        if (saver != null) {
            saver.close();
        }
    }
}
