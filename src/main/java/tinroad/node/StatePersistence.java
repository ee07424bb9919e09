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
 * Restores and saves the state of a gateway. The state is read once before the gateway listens, on
 * the thread that starts it, and saved periodically: the event loop hands snapshots to a writer,
 * which saves them on a thread of its own.
 */
final class StatePersistence implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");

    /** Instance that restores nothing and saves nothing. */
    static final StatePersistence DISABLED = new StatePersistence(null, null);

    /** Null if nothing is persisted. */
    private final StateRestorer restorer;

    /** Null if nothing is persisted. */
    private final SnapshotWriter writer;

    private StatePersistence(StateRestorer restorer, SnapshotWriter writer) {
        this.restorer = restorer;
        this.writer = writer;
    }

    /**
     * Reads the snapshots in the folder and claims the next incarnation; blocks. If the folder
     * can't be used, this is logged, and the gateway serves without stored state.
     */
    static StatePersistence open(StateSettings settings, String gatewayName, double nowMillis) {
        SnapshotStore store =
                new SnapshotStore(settings.folder(), settings.fence(), settings.keptSnapshots());
        try {
            SnapshotSelector.Decision decision =
                    SnapshotSelector.select(
                            store.candidates(),
                            gatewayName,
                            nowMillis,
                            settings.maxAgeMillis(),
                            store.latestMarkedIncarnation(),
                            store.fencedIncarnation());
            long incarnation = store.claimIncarnation(decision.lastIncarnation());
            decision.rejectedFiles().forEach(text -> LOG.warn("snapshot rejected: {}", text));
            LOG.info("incarnation {} started {}", incarnation, describe(decision, nowMillis));
            return new StatePersistence(
                    new StateRestorer(
                            gatewayName,
                            decision,
                            incarnation,
                            settings.maxAgeMillis(),
                            settings.halfLifeMillis()),
                    new SnapshotWriter(store));
        } catch (IOException e) {
            LOG.warn("state folder can't be used, nothing is persisted: {}", e.toString());
            return DISABLED;
        }
    }

    private static String describe(SnapshotSelector.Decision decision, double nowMillis) {
        return switch (decision.startMode()) {
            case WARM -> {
                Snapshot snapshot = decision.snapshot().orElseThrow();
                yield "from incarnation "
                        + snapshot.incarnation()
                        + ", saved "
                        + Math.round(Math.max(0, nowMillis - snapshot.savedAtMillis()) / 1000)
                        + " s ago";
            }
            case FIRST -> "without stored state";
            case COLD -> "cold: no stored state was accepted as valid";
        };
    }

    /** The state stored by earlier incarnations, or {@link RestoredState#NONE}. */
    RestoredState restoredState() {
        return restorer == null ? RestoredState.NONE : restorer;
    }

    /** Hands the writer a snapshot of the gateway's present state; called on the event loop. */
    void save(Gateway gateway) {
        if (writer == null) {
            return;
        }
        Map<String, Estimate> estimates = gateway.learnedEstimates();
        // A gateway whose engine was never reachable has learned nothing; the last snapshot stays.
        if (!estimates.isEmpty()) {
            writer.offer(
                    restorer.toSnapshot(
                            gateway.nowMillis(),
                            estimates,
                            gateway.executedIds(),
                            gateway.evacuated(),
                            gateway.catalog().epoch(),
                            gateway.catalog().number()));
        }
    }

    /** Blocks until the writer has saved the snapshots that it was handed. */
    @Override
    public void close() {
        if (writer != null) {
            writer.close();
        }
    }
}
