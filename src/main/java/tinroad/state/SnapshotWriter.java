package tinroad.state;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves snapshots on its own thread, so that offering one never blocks. If several are waiting for
 * a slow disk, only the latest is written. A failure is logged once, and so is the first success
 * after it.
 */
public final class SnapshotWriter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final SnapshotStore store;
    private final AtomicReference<Snapshot> pending = new AtomicReference<>();
    private final AtomicLong savedCount = new AtomicLong();
    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "state");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Like {@code fenced}, accessed only on the thread of the writer. */
    private boolean failing;

    private boolean fenced;

    /** Creates a writer to this store, whose incarnation has to be claimed already. */
    public SnapshotWriter(SnapshotStore store) {
        this.store = store;
    }

    /**
     * Schedules this snapshot to be saved, unless a later one replaces it first. Can be called on
     * any thread.
     */
    public void offer(Snapshot snapshot) {
        if (pending.getAndSet(snapshot) == null && !executor.isShutdown()) {
            executor.execute(this::savePending);
        }
    }

    /** The number of snapshots saved so far. */
    public long savedCount() {
        return savedCount.get();
    }

    private void savePending() {
        Snapshot snapshot = pending.getAndSet(null);
        if (snapshot == null || fenced) {
            return;
        }
        try {
            fenced = !store.save(snapshot);
            if (fenced) {
                LOG.warn("state is saved no more: a later process of this gateway has begun");
                return;
            }
            savedCount.incrementAndGet();
            if (failing) {
                failing = false;
                LOG.info("state is saved again");
            }
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                LOG.warn("state can't be saved: {}", e.toString());
            }
        }
    }

    /**
     * Saves the pending snapshot; waits for it only as long as the shutdown of the process may
     * take.
     */
    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                LOG.warn("state can't be saved in time: the disk is slow");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
