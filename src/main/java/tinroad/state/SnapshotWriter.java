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
 * Saves snapshots on a thread of its own: whoever offers one never waits. Of several that wait for
 * a slow disk only the latest is written. A failure is logged once, and once more when it is over.
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

    /** Used on the writer's thread only, like {@code fenced}. */
    private boolean failing;

    private boolean fenced;

    /** Saves into this store, whose incarnation was claimed. */
    public SnapshotWriter(SnapshotStore store) {
        this.store = store;
    }

    /** Has this snapshot saved, unless a later one is offered first; on any thread. */
    public void offer(Snapshot snapshot) {
        if (pending.getAndSet(snapshot) == null && !executor.isShutdown()) {
            executor.execute(this::savePending);
        }
    }

    /** How many snapshots were saved. */
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

    /** Saves what is pending, for as long as the end of a process may take. */
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
