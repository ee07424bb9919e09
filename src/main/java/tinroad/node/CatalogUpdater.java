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
 * Applies catalog versions, read from the configuration file or from a change log, to a running
 * gateway. Whatever the source, reading, validating and comparing happen on a thread of their own
 * named "catalog"; the event loop receives only the differences. The gateway receives one version
 * at a time: the next one waits until this one is in force, so the amount of pending work is
 * bounded.
 *
 * <p>How a changed quota takes effect: {@link #apply} or a poll of the change log reads and
 * validates it here. The gateway stages the differences in slices and commits them all at one
 * instant ({@code core.CatalogRollout}). From that commit on the controller uses the new quota, and
 * "settings in force" is logged (at debug level while a change log is followed).
 */
final class CatalogUpdater implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("catalog");
    private static final String THREAD_NAME = "catalog";

    private final Gateway gateway;
    private final Executor eventLoop;

    /** Accessed on the catalog thread only. */
    private final CatalogBuilder builder;

    /** Null if no change log is followed. */
    private final ChangeLogFollower follower;

    private final ScheduledThreadPoolExecutor executor;

    /**
     * The outcome of reading the configuration again.
     *
     * @param config the configuration that was read
     * @param pendingEntries number of classes and tenants that differ but take effect only at the
     *     next start
     * @param applied whether its classes and tenants are being applied to the running gateway
     */
    record Reload(GatewayConfig config, int pendingEntries, boolean applied) {}

    /**
     * Creates an updater for {@code gateway}, whose catalog must still be {@code startCatalog}.
     *
     * @param follower reads the change log; null if none is followed
     */
    CatalogUpdater(
            Gateway gateway, Catalog startCatalog, Executor eventLoop, ChangeLogFollower follower) {
        this.gateway = gateway;
        this.eventLoop = eventLoop;
        this.follower = follower;
        builder = new CatalogBuilder(startCatalog);
        executor = new ScheduledThreadPoolExecutor(1, CatalogUpdater::newThread);
        eventLoop.execute(
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

    /** Polls the change log now, and again {@code pollMillis} after the end of each poll. */
    void follow(double pollMillis) {
        // The future is not needed: polling ends with the executor, and poll() handles its own
        // exceptions.
        ScheduledFuture<?> unused =
                executor.scheduleWithFixedDelay(
                        this::poll, 0, Math.max(1, (long) pollMillis), TimeUnit.MILLISECONDS);
    }

    private void poll() {
        try {
            boolean mayHaveMore = true;
            while (mayHaveMore) {
                ChangeLogFollower.PollResult result = follower.poll(builder);
                if (follower.lastProblem().isPresent()) {
                    reportProblem(result.logLine().orElse(null));
                } else {
                    result.logLine().ifPresent(line -> LOG.info("{}", line));
                }
                mayHaveMore = result.applied().isPresent() && activate(result.applied().get());
            }
        } catch (RuntimeException e) {
            // After an uncaught exception the executor would cancel all later polls.
            LOG.error("can't follow the change log", e);
        }
    }

    /** Logs the problem and has the gateway report it to operators; does nothing for null. */
    private void reportProblem(String line) {
        if (line != null) {
            LOG.warn("{}", line);
            reportRejection(line);
        }
    }

    private void releaseSlots(int[] slots, IntConsumer release) {
        try {
            executor.execute(
                    () -> {
                        for (int slot : slots) {
                            release.accept(slot);
                        }
                    });
        } catch (RejectedExecutionException e) {
            // The process is about to end, so no slot will be allocated again.
        }
    }

    /**
     * Reads the configuration and compares it with the last version that was built, without
     * applying anything; blocks.
     *
     * @throws ConfigException if it is invalid, or the process is about to end
     */
    Reload read(ConfigSource source) throws ConfigException {
        return callOnCatalogThread(
                () -> {
                    FullSnapshotDiff diff = new FullSnapshotDiff(builder.current());
                    GatewayConfig config = source.read(diff);
                    return new Reload(config, changeFrom(diff).size(), false);
                });
    }

    /**
     * Reads the configuration and begins to apply its classes and tenants to the gateway; blocks
     * until they are validated, not until they are in force.
     *
     * @param requested whether an operator requested this reload, so that the reason is reported if
     *     a change log rejects the classes and tenants
     * @throws ConfigException if it is invalid, or the process is about to end
     */
    Reload apply(ConfigSource source, boolean requested) throws ConfigException {
        return callOnCatalogThread(
                () -> {
                    FullSnapshotDiff diff = new FullSnapshotDiff(builder.current());
                    GatewayConfig config = source.read(diff);
                    CatalogBuilder.ChangeResult.Applied applied;
                    if (follower != null) {
                        ChangeLogFollower.PollResult result = follower.applyFile(builder, diff);
                        reportProblem(requested ? result.logLine().orElse(null) : null);
                        applied = result.applied().orElse(null);
                    } else {
                        applied = buildVersion(changeFrom(diff));
                    }
                    if (applied != null) {
                        executor.execute(() -> activate(applied));
                    }
                    return new Reload(config, 0, applied != null);
                });
    }

    /** Builds the next version from a change; null if the change is empty. */
    private CatalogBuilder.ChangeResult.Applied buildVersion(CatalogChange change)
            throws ConfigException {
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

    private <T> T callOnCatalogThread(Callable<T> task) throws ConfigException {
        try {
            return executor.submit(task).get();
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

    /** Hands the gateway a version and waits until it is in force; false if it never will be. */
    private boolean activate(CatalogBuilder.ChangeResult.Applied applied) {
        Catalog next = applied.next();
        CatalogDelta delta = applied.delta();
        CompletableFuture<Boolean> activated = new CompletableFuture<>();
        try {
            int unappliedChanges = unappliedAfter(next);
            eventLoop.execute(
                    () -> {
                        gateway.setUnappliedChanges(unappliedChanges);
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

    /** How many versions the change log has beyond {@code next}, as far as it has been read. */
    private int unappliedAfter(Catalog next) {
        LogPosition newest = follower == null ? null : follower.newest().orElse(null);
        boolean sameEpoch = newest != null && newest.epoch() == next.epoch();
        return sameEpoch
                ? (int) Math.max(0, Math.min(Integer.MAX_VALUE, newest.number() - next.number()))
                : 0;
    }

    private void reportRejection(String text) {
        eventLoop.execute(() -> gateway.changeRejected(text));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
