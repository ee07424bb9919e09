package tinroad.node;

import java.io.IOException;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Gateway;
import tinroad.operator.StateSettings;
import tinroad.overload.Controller.Estimate;
import tinroad.recovery.RestoredState;
import tinroad.recovery.StateRestorer;
import tinroad.state.Snapshot;
import tinroad.state.SnapshotSelector;
import tinroad.state.SnapshotStore;
import tinroad.state.SnapshotWriter;

/**
 * Where what lasts of a gateway is read from, once before it listens, and saved to, again and again
 * off the event loop.
 */
final class StatePersistence implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");

    private final StateRestorer remembrance;
    private final SnapshotWriter saver;

    private StatePersistence(StateRestorer remembrance, SnapshotWriter saver) {
        this.remembrance = remembrance;
        this.saver = saver;
    }

    /**
     * Reads what is there and begins the next life. Where the folder can't be used, nothing is
     * believed and nothing saved: that is told in one line, and the gateway serves as one of which
     * nothing lasts.
     */
    static StatePersistence open(StateSettings set, String name, double nowMillis) {
        SnapshotStore folder = new SnapshotStore(set.folder(), set.fence(), set.keptSnapshots());
        try {
            SnapshotSelector.Decision d =
                    SnapshotSelector.select(
                            folder.candidates(),
                            name,
                            nowMillis,
                            set.maxAgeMillis(),
                            folder.latestMarkedIncarnation(),
                            folder.fencedIncarnation());
            long life = folder.claimIncarnation(d.lastIncarnation());
            d.rejectedFiles().forEach(text -> LOG.warn("set aside: {}", text));
            LOG.info("life {} begins {}", life, words(d, nowMillis));
            return new StatePersistence(
                    new StateRestorer(name, d, life, set.maxAgeMillis(), set.halfLifeMillis()),
                    new SnapshotWriter(folder));
        } catch (IOException e) {
            LOG.warn("state can't be used, nothing lasts: {}", e.toString());
            return new StatePersistence(null, null);
        }
    }

    private static String words(SnapshotSelector.Decision d, double nowMillis) {
        return switch (d.startMode()) {
            case WARM -> {
                Snapshot s = d.snapshot().orElseThrow();
                yield "with life "
                        + s.incarnation()
                        + ", saved "
                        + Math.round(Math.max(0, nowMillis - s.savedAtMillis()) / 1000)
                        + " s ago";
            }
            case FIRST -> "for the first time";
            case COLD -> "cold: nothing of what was there is believed";
        };
    }

    RestoredState memory() {
        return remembrance == null ? RestoredState.NONE : remembrance;
    }

    /** Has what the gateway knows now saved; on the event loop, which does not wait for it. */
    void save(Gateway gateway) {
        Map<String, Estimate> values = gateway.learnedEstimates();
        // Before its engine was there it knows nothing, and what an earlier life left stays.
        if (saver != null && !values.isEmpty()) {
            saver.offer(
                    remembrance.toSnapshot(
                            gateway.nowMillis(),
                            values,
                            gateway.executedIds(),
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
