package tinroad.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.UUID;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.admin.EvacuationOrders;
import tinroad.core.Gateway;

/**
 * Shares the operators' orders to evacuate the gateway, and to put it back, between the processes
 * of the gateway: the last order counts, whichever process received it, and a process that starts
 * later, or alone, finds it. The order is kept in a file in the directory that the processes share.
 *
 * <p>An order is written before it is carried out, on a thread of its own. {@link #check} is called
 * on the thread that starts the node and waits for its end. Both hand the order to the event loop
 * under one lock, so that an older order never follows a newer one there.
 */
final class SharedEvacuation implements EvacuationOrders, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");
    private static final String FILE_PREFIX = "tinroad-";
    private static final String FILE_SUFFIX = ".order";

    /** Upper bound of the orders that wait to be written; further ones are only carried out. */
    private static final int MAX_WAITING_ORDERS = 64;

    private static final long WRITER_IDLE_SECONDS = 10;

    /** The content of the file. */
    private enum Order {
        EVACUATE,
        REJOIN
    }

    private final EventLoop eventLoop;
    private final Gateway gateway;

    /** Null without a directory. */
    private final Path file;

    /** Written in full, then renamed to {@link #file}; of this process alone. */
    private final Path newFile;

    private final ThreadPoolExecutor writer;

    /** The order that was handed to the event loop last; null before the first. */
    private Order lastOrder;

    private boolean readFailureLogged;

    /**
     * Creates the orders of gateway {@code name}.
     *
     * @param directory directory that the processes of the gateway share; null or empty if there is
     *     none, in which case orders are of this process alone
     */
    SharedEvacuation(String directory, String name, EventLoop eventLoop, Gateway gateway) {
        this.eventLoop = eventLoop;
        this.gateway = gateway;
        boolean hasDirectory = directory != null && !directory.isEmpty();
        file = hasDirectory ? Path.of(directory, FILE_PREFIX + name + FILE_SUFFIX) : null;
        newFile =
                hasDirectory
                        ? file.resolveSibling(file.getFileName() + "." + UUID.randomUUID())
                        : null;
        writer =
                new ThreadPoolExecutor(
                        1,
                        1,
                        WRITER_IDLE_SECONDS,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(MAX_WAITING_ORDERS),
                        task -> {
                            Thread thread = new Thread(task, "orders");
                            thread.setDaemon(true);
                            return thread;
                        });
        writer.allowCoreThreadTimeOut(true);
    }

    @Override
    public void carryOut(boolean evacuate, Runnable done) {
        Order order = evacuate ? Order.EVACUATE : Order.REJOIN;
        if (file == null) {
            apply(order, done);
            return;
        }
        try {
            writer.execute(() -> writeThenHandOver(order, done));
        } catch (RejectedExecutionException e) {
            LOG.warn("order not recorded, too many wait: {}", order);
            apply(order, done);
        }
    }

    private synchronized void writeThenHandOver(Order order, Runnable done) {
        try {
            Files.writeString(newFile, order.name());
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            LOG.warn("order not recorded for other processes: {}", e.toString());
        }
        handOver(order, done);
    }

    /** Takes over the order that the file holds, if it is not the last one known; blocks. */
    synchronized void check() {
        Order order = read();
        if (order != null && order != lastOrder) {
            handOver(order, () -> {});
        }
    }

    private Order read() {
        if (file == null) {
            return null;
        }
        try {
            return Order.valueOf(Files.readString(file));
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException | IllegalArgumentException e) {
            if (!readFailureLogged) {
                readFailureLogged = true;
                LOG.warn("can't read the operators' last order: {}", e.toString());
            }
            return null;
        }
    }

    private void handOver(Order order, Runnable done) {
        lastOrder = order;
        eventLoop.execute(() -> apply(order, done));
    }

    private void apply(Order order, Runnable done) {
        if (order == Order.EVACUATE) {
            gateway.evacuate();
        } else {
            // Not carried out by a process that ends for good, whose health stays bad.
            boolean unused = gateway.rejoin();
        }
        done.run();
    }

    @Override
    public void close() {
        writer.shutdown();
    }
}
