package tinroad.node;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.catalog.Catalog;
import tinroad.catalog.Change;
import tinroad.catalog.Delta;
import tinroad.catalog.Editor;
import tinroad.catalog.Whole;
import tinroad.config.ConfigException;
import tinroad.config.ConfigSource;
import tinroad.config.GatewayConfig;
import tinroad.core.Gateway;

/**
 * Brings later classes and tenants to a gateway that serves. All that reads, checks and compares is done by one thread of its
 * own, whichever source it is from; the event loop only hears what differs. One version is told at a time: the next one waits
 * until it is in force, so that what waits has a bound.
 */
final class CatalogUpdates implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("catalog");

    private final Gateway gateway;
    private final Executor loop;
    private final Editor editor;
    private final ScheduledThreadPoolExecutor thread;

    /** What a configuration that was read again says, and how many classes and tenants differ from what serves. */
    record Reread(GatewayConfig config, Change change) { }

    CatalogUpdates(Gateway gateway, Executor loop) {
        this.gateway = gateway;
        this.loop = loop;
        editor = new Editor(gateway.catalog());
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread t = new Thread(task, "catalog");
            t.setDaemon(true);
            return t;
        });
        gateway.onFree(places -> free(places, editor::routeFree), places -> free(places, editor::tenantFree));
    }

    private void free(int[] places, IntConsumer told) {
        try {
            thread.execute(() -> {
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
        return onThread(() -> compare(source));
    }

    /**
     * Reads the configuration and has the gateway go on with its classes and tenants; blocks until they are checked, and not until
     * they are in force.
     */
    Reread apply(ConfigSource source) throws ConfigException {
        return onThread(() -> {
            Reread reread = compare(source);
            if (reread.change.size() > 0) {
                Editor.Outcome outcome = editor.offerWhole(reread.change);
                if (outcome instanceof Editor.Outcome.Taken taken) {
                    thread.execute(() -> bring(taken.next(), taken.delta()));
                } else {
                    throw new ConfigException(outcome instanceof Editor.Outcome.Refused refused
                            ? String.join("\n", refused.faults()) : "settings changed while they were read");
                }
            }
            return reread;
        });
    }

    private Reread compare(ConfigSource source) throws ConfigException {
        Catalog base = editor.current();
        Whole whole = new Whole(base);
        GatewayConfig config = source.read(whole);
        return new Reread(config, whole.change(base.epoch(), base.number() + 1));
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

    /** Hands the gateway a version, and waits until it is in force. */
    private boolean bring(Catalog next, Delta delta) {
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        try {
            loop.execute(() -> gateway.change(next, delta, end::complete));
            boolean inForce = end.get();
            if (inForce) {
                LOG.info("settings in force: epoch {}, number {}, {} classes and {} tenants changed", next.epoch(), next.number(),
                        delta.classes().size(), delta.tenants().size());
            }
            return inForce;
        } catch (RejectedExecutionException | ExecutionException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void refused(String text) {
        loop.execute(() -> gateway.changeRefused(text));
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
