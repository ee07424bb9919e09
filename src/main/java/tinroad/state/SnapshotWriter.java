package tinroad.state;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves snapshots on a thread of its own: whoever offers one never waits. Of several that a slow
 * disk leaves waiting only the latest is written. What goes wrong is told once, and once that it is
 * over.
 */
public final class SnapshotWriter implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("state");
    private static final long LAST_MS = 500;

    private final SnapshotStore folder;
    private final AtomicReference<Snapshot> waiting = new AtomicReference<>();
    private final ExecutorService thread =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread t = new Thread(task, "state");
                        t.setDaemon(true);
                        return t;
                    });
    private volatile long saved;
    private boolean failing;
    private boolean fenced;

    /** Saves into this folder. */
    public SnapshotWriter(SnapshotStore folder) {
        this.folder = folder;
    }

    /** Has this snapshot saved, unless a later one comes first. */
    public void offer(Snapshot s) {
        if (waiting.getAndSet(s) == null && !thread.isShutdown()) {
            thread.execute(this::save);
        }
    }

    /** How many were saved. */
    public long saved() {
        return saved;
    }

    private void save() {
        Snapshot s = waiting.getAndSet(null);
        if (s == null || fenced) {
            return;
        }
        try {
            fenced = !folder.save(s);
            if (fenced) {
                LOG.warn("state is saved no more: a later process of this gateway has begun");
                return;
            }
            saved++;
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

    /** Saves what waits, for as long as the end of a process may take. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            if (!thread.awaitTermination(LAST_MS, TimeUnit.MILLISECONDS)) {
                LOG.warn("state can't be saved in time: the disk is slow");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
