package tinroad.node;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.CatalogDelta;
import tinroad.catalog.FullSnapshotDiff;
import tinroad.changelog.ChangeDescription;
import tinroad.changelog.ChangeLogFollower;
import tinroad.changelog.LogPosition;
import tinroad.config.ConfigException;
import tinroad.config.ConfigSource;
import tinroad.config.GatewayConfig;
import tinroad.core.Gateway;

/**
 * Brings later classes and tenants to a gateway that serves. All that reads, checks and compares is
 * done by one thread of its own, whichever source it is from; the event loop only hears what
 * differs. One version is told at a time: the next one waits until it is in force, so that what
 * waits has a bound.
 */
final class CatalogUpdater implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("catalog");

    private final Gateway gateway;
    private final Executor loop;
    private final CatalogBuilder editor;

    /** What is followed, or null. */
    private final ChangeLogFollower follower;

    private final ScheduledThreadPoolExecutor thread;

    /**
     * What a configuration that was read again says.
     *
     * @param later classes and tenants that differ and count at the next start only
     * @param taken whether classes and tenants of it are to come in force
     */
    record Reread(GatewayConfig config, int later, boolean taken) {}

    /**
     * Updates of {@code gateway}, which still has its {@code first} catalog; those of a change log
     * come by {@code follower}, or null.
     */
    CatalogUpdater(Gateway gateway, Catalog first, Executor loop, ChangeLogFollower follower) {
        this.gateway = gateway;
        this.loop = loop;
        this.follower = follower;
        editor = new CatalogBuilder(first);
        thread =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, "catalog");
                            t.setDaemon(true);
                            return t;
                        });
        loop.execute(
                () ->
                        gateway.onSlotsFree(
                                places -> free(places, editor::releaseClassSlot),
                                places -> free(places, editor::releaseTenantSlot)));
    }

    /** Begins to look into the log, and does again {@code poll} ms after each look. */
    void follow(double poll) {
        thread.scheduleWithFixedDelay(
                this::look, 0, Math.max(1, (long) poll), TimeUnit.MILLISECONDS);
    }

    private void look() {
        try {
            boolean more = true;
            while (more) {
                ChangeLogFollower.PollResult step = follower.poll(editor);
                if (follower.lastProblem().isPresent()) {
                    tell(step.logLine().orElse(null));
                } else {
                    step.logLine().ifPresent(line -> LOG.info("{}", line));
                }
                more = step.applied().isPresent() && bring(step.applied().get());
            }
        } catch (RuntimeException e) {
            // Guards the looks to come, which an exception would end.
            LOG.error("can't follow the change log", e);
        }
    }

    private void tell(String line) {
        if (line != null) {
            LOG.warn("{}", line);
            refused(line);
        }
    }

    private void free(int[] places, IntConsumer told) {
        try {
            thread.execute(
                    () -> {
                        for (int place : places) {
                            told.accept(place);
                        }
                    });
        } catch (RejectedExecutionException e) {
            // The end of the process: nothing is given out any more.
        }
    }

    /** Reads the configuration and compares it with the last version that was made; blocks. */
    Reread read(ConfigSource source) throws ConfigException {
        return onThread(
                () -> {
                    FullSnapshotDiff whole = new FullSnapshotDiff(editor.current());
                    GatewayConfig config = source.read(whole);
                    return new Reread(config, change(whole).size(), false);
                });
    }

    /**
     * Reads the configuration and has the gateway go on with its classes and tenants; blocks until
     * they are checked, and not until they are in force.
     *
     * @param asked whether somebody waits to be told why they don't count
     */
    Reread apply(ConfigSource source, boolean asked) throws ConfigException {
        return onThread(
                () -> {
                    FullSnapshotDiff whole = new FullSnapshotDiff(editor.current());
                    GatewayConfig config = source.read(whole);
                    CatalogBuilder.ChangeResult.Applied taken;
                    if (follower != null) {
                        ChangeLogFollower.PollResult step = follower.applyFile(editor, whole);
                        tell(asked ? step.logLine().orElse(null) : null);
                        taken = step.applied().orElse(null);
                    } else {
                        taken = offer(change(whole));
                    }
                    if (taken != null) {
                        thread.execute(() -> bring(taken));
                    }
                    return new Reread(config, 0, taken != null);
                });
    }

    /** Null where nothing differs. */
    private CatalogBuilder.ChangeResult.Applied offer(CatalogChange change) throws ConfigException {
        if (change.size() == 0) {
            return null;
        }
        CatalogBuilder.ChangeResult outcome = editor.applyFullSnapshot(change);
        if (outcome instanceof CatalogBuilder.ChangeResult.Applied taken) {
            return taken;
        }
        throw new ConfigException(
                outcome instanceof CatalogBuilder.ChangeResult.Rejected refused
                        ? String.join("\n", refused.errors())
                        : ChangeDescription.of(change, outcome));
    }

    private CatalogChange change(FullSnapshotDiff whole) {
        Catalog base = editor.current();
        return whole.change(base.epoch(), base.number() + 1);
    }

    private <T> T onThread(Callable<T> task) throws ConfigException {
        try {
            return thread.submit(task).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConfigException wrong) {
                refused(wrong.getMessage());
                throw wrong;
            }
            throw new IllegalStateException(e.getCause());
        } catch (RejectedExecutionException e) {
            throw new ConfigException("this process is about to end");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigException("interrupted");
        }
    }

    /** Hands the gateway a version, and waits until it is in force; false where it never is. */
    private boolean bring(CatalogBuilder.ChangeResult.Applied taken) {
        Catalog next = taken.next();
        CatalogDelta delta = taken.delta();
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        try {
            int untold = untold(next);
            loop.execute(
                    () -> {
                        gateway.setUnappliedChanges(untold);
                        gateway.applyChange(next, delta, end::complete);
                    });
            boolean inForce = end.get();
            if (inForce) {
                LOG.atLevel(follower == null ? Level.INFO : Level.DEBUG)
                        .log(
                                "settings in force: epoch {}, number {}, {} classes and {} tenants"
                                        + " changed",
                                next.epoch(),
                                next.number(),
                                delta.classes().size(),
                                delta.tenants().size());
            }
            return inForce;
        } catch (RejectedExecutionException | ExecutionException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** How many later versions the log was seen to hold beyond this one. */
    private int untold(Catalog next) {
        LogPosition newest = follower == null ? null : follower.newest().orElse(null);
        boolean later = newest != null && newest.epoch() == next.epoch();
        return later
                ? (int) Math.max(0, Math.min(Integer.MAX_VALUE, newest.number() - next.number()))
                : 0;
    }

    private void refused(String text) {
        loop.execute(() -> gateway.changeRejected(text));
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
