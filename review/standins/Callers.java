import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Client proxies as the protocol page describes them: each keeps a few connections, opens a new one
 * when one has ended, and sends a request that crosses the end of a connection within 50 ms once
 * more. They never retry by themselves.
 */
final class Callers implements AutoCloseable {
    private static final long SEED = 44;
    private static final double RUN_CV = 0.7;

    private final int port;
    private final Engine engine;
    private final Record record;
    private final String className;
    private final String tenant;
    private final long deadlineMillis;
    private final double meanRunMillis;
    private final Random random = new Random(SEED);
    private final List<ProxyConnection> connections = new ArrayList<>();
    private final List<Request> sent = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private int refusedConnections;
    private int next;

    Callers(
            int port,
            Engine engine,
            Record record,
            String className,
            String tenant,
            long deadlineMillis,
            double meanRunMillis,
            int connectionCount) {
        this.port = port;
        this.engine = engine;
        this.record = record;
        this.className = className;
        this.tenant = tenant;
        this.deadlineMillis = deadlineMillis;
        this.meanRunMillis = meanRunMillis;
        for (int i = 0; i < connectionCount; i++) {
            connections.add(null);
        }
    }

    /** Sends at this rate on the average, at moments that do not depend on the answers. */
    void start(double perSecond) {
        double gapMillis = -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        timer.schedule(
                () -> {
                    start(perSecond);
                    sendOne();
                },
                (long) (gapMillis * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** A lognormal run time with this mean. */
    private long runMillis() {
        double sigma = Math.sqrt(Math.log(1 + RUN_CV * RUN_CV));
        return Math.max(
                20,
                Math.round(
                        meanRunMillis
                                * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2)));
    }

    private synchronized void sendOne() {
        next++;
        Request request =
                new Request(
                        String.format("%08x%08x", 0xca11, next),
                        className,
                        tenant,
                        "request " + next,
                        deadlineMillis);
        engine.expect(request.id, className, request.body, runMillis());
        if (write(request, next % connections.size())) {
            sent.add(request);
        }
    }

    private synchronized boolean write(Request request, int place) {
        try {
            if (connections.get(place) == null || connections.get(place).ended()) {
                connections.set(place, new ProxyConnection(
                                port, record, crossing -> again(crossing, place)));
            }
        } catch (java.io.IOException e) {
            refusedConnections++;
            record.line("%s not sent: %s", request.id, e.toString());
            return false;
        }
        return connections.get(place).send(request);
    }

    private void again(Request request, int place) {
        Thread thread = new Thread(() -> write(request, place), "again");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        timer.shutdownNow();
    }

    synchronized List<Request> sent() {
        return List.copyOf(sent);
    }

    synchronized int refusedConnections() {
        return refusedConnections;
    }

    @Override
    public synchronized void close() {
        timer.shutdownNow();
        connections.forEach(
                connection -> {
                    if (connection != null) {
                        connection.close();
                    }
                });
    }
}
