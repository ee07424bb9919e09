package tinroad.node;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
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
 * Applies catalog versions, from the configuration file or from a change log, to a gateway that
 * serves. Reading, validating and comparing happen on one thread of its own, "catalog", whatever
 * the source; the event loop receives only the differences. One version is handed over at a time:
 * the next one waits until it is in force, which bounds what is pending.
 *
 * <p>The way of a changed quota: {@link #apply} or a poll of the change log reads and validates it
 * here; the gateway stages the differences in slices and commits them at one instant ({@code
 * core.CatalogRollout}); from that commit on the controller uses the new quota, and "settings in
 * force" is logged (at debug level while a change log is followed).
 */
final class CatalogUpdater implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("catalog");
    private static final String THREAD_NAME = "catalog";

    private final Gateway gateway;
    private final Executor loop;

    /** Used on the catalog thread only. */
    private final CatalogBuilder builder;

    /** Null where no change log is followed. */
    private final ChangeLogFollower follower;

    private final ScheduledThreadPoolExecutor thread;

    /**
     * The outcome of reading the configuration again.
     *
     * @param pendingEntries how many classes and tenants differ and apply at the next start only
     * @param applied whether its classes and tenants change something now
     */
    record Reload(GatewayConfig config, int pendingEntries, boolean applied) {}

    /**
     * Updates of {@code gateway}, which still has its {@code startCatalog}; {@code follower} is
     * null where no change log is followed.
     */
    CatalogUpdater(
            Gateway gateway, Catalog startCatalog, Executor loop, ChangeLogFollower follower) {
        this.gateway = gateway;
        this.loop = loop;
        this.follower = follower;
        builder = new CatalogBuilder(startCatalog);
        thread = new ScheduledThreadPoolExecutor(1, CatalogUpdater::newThread);
        loop.execute(
                () ->
                        gateway.onSlotsFree(
                                slots -> releaseSlots(slots, builder::releaseClassSlot),
                                slots -> releaseSlots(slots, builder::releaseTenantSlot)));
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, THREAD_NAME);
        thread.setDaemon(true);
        return thread;
    }

    /** Polls the change log now, and again {@code pollMillis} after each poll. */
    void follow(double pollMillis) {
        // Ends with the thread; a poll catches its own failures.
        ScheduledFuture<?> unused =
                thread.scheduleWithFixedDelay(
                        this::poll, 0, Math.max(1, (long) pollMillis), TimeUnit.MILLISECONDS);
    }

    private void poll() {
        try {
            boolean more = true;
            while (more) {
                ChangeLogFollower.PollResult result = follower.poll(builder);
                if (follower.lastProblem().isPresent()) {
                    reportProblem(result.logLine().orElse(null));
                } else {
                    result.logLine().ifPresent(line -> LOG.info("{}", line));
                }
                more = result.applied().isPresent() && activate(result.applied().get());
            }
        } catch (RuntimeException e) {
            // Guards the polls to come, which an exception would end.
            LOG.error("can't follow the change log", e);
        }
    }

    /** Logs the problem and has the gateway show it; nothing for null. */
    private void reportProblem(String line) {
        if (line != null) {
            LOG.warn("{}", line);
            reportRejection(line);
        }
    }

    private void releaseSlots(int[] slots, IntConsumer release) {
        try {
            thread.execute(
                    () -> {
                        for (int slot : slots) {
                            release.accept(slot);
                        }
                    });
        } catch (RejectedExecutionException e) {
            // The process ends: no slot is allocated any more.
        }
    }

    /**
     * Reads the configuration and compares it with the last version that was built; blocks.
     *
     * @throws ConfigException if it is invalid, or the process is about to end
     */
    Reload read(ConfigSource source) throws ConfigException {
        return onThread(
                () -> {
                    FullSnapshotDiff diff = new FullSnapshotDiff(builder.current());
                    GatewayConfig config = source.read(diff);
                    return new Reload(config, changeFrom(diff).size(), false);
                });
    }

    /**
     * Reads the configuration and has the gateway change to its classes and tenants; blocks until
     * they are validated, not until they are in force.
     *
     * @param requested whether somebody waits for the reason if they don't apply
     * @throws ConfigException if it is invalid, or the process is about to end
     */
    Reload apply(ConfigSource source, boolean requested) throws ConfigException {
        return onThread(
                () -> {
                    FullSnapshotDiff diff = new FullSnapshotDiff(builder.current());
                    GatewayConfig config = source.read(diff);
                    CatalogBuilder.ChangeResult.Applied applied;
                    if (follower != null) {
                        ChangeLogFollower.PollResult result = follower.applyFile(builder, diff);
                        reportProblem(requested ? result.logLine().orElse(null) : null);
                        applied = result.applied().orElse(null);
                    } else {
                        applied = build(changeFrom(diff));
                    }
                    if (applied != null) {
                        thread.execute(() -> activate(applied));
                    }
                    return new Reload(config, 0, applied != null);
                });
    }

    /** Null where nothing differs. */
    private CatalogBuilder.ChangeResult.Applied build(CatalogChange change) throws ConfigException {
        if (change.size() == 0) {
            return null;
        }
        CatalogBuilder.ChangeResult result = builder.applyFullSnapshot(change);
        if (result instanceof CatalogBuilder.ChangeResult.Applied applied) {
            return applied;
        }
        throw new ConfigException(
                result instanceof CatalogBuilder.ChangeResult.Rejected rejected
                        ? String.join("\n", rejected.errors())
                        : ChangeDescription.of(change, result));
    }

    private CatalogChange changeFrom(FullSnapshotDiff diff) {
        Catalog base = builder.current();
        return diff.change(base.epoch(), base.number() + 1);
    }

    private <T> T onThread(Callable<T> task) throws ConfigException {
        try {
            return thread.submit(task).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConfigException invalid) {
                reportRejection(invalid.getMessage());
                throw invalid;
            }
            throw new IllegalStateException(e.getCause());
        } catch (RejectedExecutionException e) {
            throw new ConfigException("this process is about to end");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigException("interrupted");
        }
    }

    /** Hands the gateway a version and waits until it is in force; false where it never is. */
    private boolean activate(CatalogBuilder.ChangeResult.Applied applied) {
        Catalog next = applied.next();
        CatalogDelta delta = applied.delta();
        CompletableFuture<Boolean> activated = new CompletableFuture<>();
        try {
            int unapplied = unappliedAfter(next);
            loop.execute(
                    () -> {
                        gateway.setUnappliedChanges(unapplied);
                        gateway.applyChange(next, delta, activated::complete);
                    });
            boolean inForce = activated.get();
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

    /** How many versions beyond this one the change log was seen to have. */
    private int unappliedAfter(Catalog next) {
        LogPosition newest = follower == null ? null : follower.newest().orElse(null);
        boolean sameEpoch = newest != null && newest.epoch() == next.epoch();
        return sameEpoch
                ? (int) Math.max(0, Math.min(Integer.MAX_VALUE, newest.number() - next.number()))
                : 0;
    }

    private void reportRejection(String text) {
        loop.execute(() -> gateway.changeRejected(text));
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
