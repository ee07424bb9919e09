package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.core.GatewayHarness;

/** Tests the operators' orders at the processes of one gateway. */
@Timeout(60)
@SuppressWarnings("FutureReturnValueIgnored") // The event loops end with the test.
class SharedEvacuationTest {
    @TempDir private Path directory;

    private final List<GatewayProcess> started = new ArrayList<>();

    /** What a process of the gateway has of the orders. */
    private static final class GatewayProcess {
        final EventLoop eventLoop = new DefaultEventLoop();
        final GatewayHarness harness = GatewayHarness.started();
        final SharedEvacuation orders;

        GatewayProcess(Path directory) {
            orders =
                    new SharedEvacuation(
                            directory == null ? null : directory.toString(),
                            "n1",
                            eventLoop,
                            harness.gateway);
            orders.check();
        }

        void order(boolean evacuate) throws Exception {
            CountDownLatch done = new CountDownLatch(1);
            eventLoop.execute(() -> orders.carryOut(evacuate, done::countDown));
            assertTrue(done.await(30, TimeUnit.SECONDS));
        }

        boolean evacuated() throws Exception {
            orders.check();
            return eventLoop.submit(harness.gateway::evacuated).get();
        }

        void end() {
            orders.close();
            eventLoop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private GatewayProcess start() {
        started.add(new GatewayProcess(directory));
        return started.get(started.size() - 1);
    }

    @AfterEach
    void endAll() {
        started.forEach(GatewayProcess::end);
    }

    /** Guards against an order that only the process knows that received it. */
    @Test
    void theLastOrderCountsForAllProcessesWhicheverReceivedIt() throws Exception {
        List<GatewayProcess> processes = List.of(start(), start(), start());
        Random random = new Random(20261205);
        for (int i = 0; i < 60; i++) {
            boolean evacuate = random.nextBoolean();
            processes.get(random.nextInt(processes.size())).order(evacuate);
            for (GatewayProcess process : processes) {
                assertEquals(evacuate, process.evacuated(), "after order " + i);
            }
        }
    }

    /** Guards against a drain that ends with the process that received its order. */
    @Test
    void aProcessThatStartsLaterFindsTheLastOrderThoughAllOthersHaveEnded() throws Exception {
        GatewayProcess first = start();
        assertFalse(first.evacuated());
        first.order(true);
        first.end();
        GatewayProcess second = start();
        assertTrue(second.evacuated());
        GatewayProcess third = start();
        assertTrue(third.evacuated());
        second.order(false);
        assertFalse(third.evacuated());
        third.order(true);
        second.end();
        third.end();
        assertTrue(start().evacuated());
    }

    /** Guards against a damaged file that changes what is in force, or ends the checks. */
    @Test
    void aDamagedFileChangesNothing() throws Exception {
        GatewayProcess process = start();
        process.order(true);
        Path file = directory.resolve("tinroad-n1.order");
        for (String damaged : List.of("", "EVAC", "REJOIN\n\n", "\u00e4")) {
            Files.writeString(file, damaged);
            assertTrue(process.evacuated());
        }
        Files.delete(file);
        assertTrue(process.evacuated());
        process.order(false);
        assertFalse(process.evacuated());
        assertFalse(start().evacuated());
    }

    @Test
    void ordersAreCarriedOutThoughNothingCanBeRecorded() throws Exception {
        for (Path unusable : new Path[] {null, directory.resolve("missing")}) {
            GatewayProcess process = new GatewayProcess(unusable);
            started.add(process);
            process.order(true);
            assertTrue(process.evacuated());
            process.order(false);
            assertFalse(process.evacuated());
        }
    }
}
