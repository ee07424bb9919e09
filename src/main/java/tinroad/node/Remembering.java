package tinroad.node;

import java.io.IOException;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.Controller.Known;
import tinroad.core.Gateway;
import tinroad.operator.StateSettings;
import tinroad.recovery.Memory;
import tinroad.recovery.Remembrance;
import tinroad.state.Recall;
import tinroad.state.Saver;
import tinroad.state.Snapshot;
import tinroad.state.StateFolder;

/**
 * Where what lasts of a gateway is read from, once before it listens, and saved to, again and again
 * off the event loop.
 */
final class Remembering implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");

    private final Remembrance remembrance;
    private final Saver saver;

    private Remembering(Remembrance remembrance, Saver saver) {
        this.remembrance = remembrance;
        this.saver = saver;
    }

    /**
     * Reads what is there and begins the next life. Where the folder can't be used, nothing is
     * believed and nothing saved: that is told in one line, and the gateway serves as one of which
     * nothing lasts.
     */
    static Remembering open(StateSettings set, String name, double now) {
        StateFolder folder = new StateFolder(set.folder(), set.fence(), set.keep());
        try {
            Recall.Decision d =
                    Recall.decide(
                            folder.candidates(),
                            name,
                            now,
                            set.oldest(),
                            folder.knownLife(),
                            folder.fenceLife());
            long life = folder.claim(d.lastLife());
            d.setAside().forEach(text -> LOG.warn("set aside: {}", text));
            LOG.info("life {} begins {}", life, words(d, now));
            return new Remembering(
                    new Remembrance(name, d, life, set.oldest(), set.halfLife()),
                    new Saver(folder));
        } catch (IOException e) {
            LOG.warn("state can't be used, nothing lasts: {}", e.toString());
            return new Remembering(null, null);
        }
    }

    private static String words(Recall.Decision d, double now) {
        Snapshot s = d.snapshot();
        return switch (d.begin()) {
            case WARM ->
                    "with life "
                            + s.life()
                            + ", saved "
                            + Math.round(Math.max(0, now - s.savedAt()) / 1000)
                            + " s ago";
            case FIRST -> "for the first time";
            case COLD -> "cold: nothing of what was there is believed";
        };
    }

    Memory memory() {
        return remembrance == null ? Memory.NONE : remembrance;
    }

    /** Has what the gateway knows now saved; on the event loop, which does not wait for it. */
    void save(Gateway gateway) {
        Map<String, Known> values = gateway.learned();
        // Before its engine was there it knows nothing, and what an earlier life left stays.
        if (saver != null && !values.isEmpty()) {
            saver.offer(
                    remembrance.leaves(
                            gateway.now(),
                            values,
                            gateway.ranIds(),
                            gateway.evacuated(),
                            gateway.catalog().epoch(),
                            gateway.catalog().number()));
        }
    }

    @Override
    public void close() {
        if (saver != null) {
            saver.close();
        }
    }
}
