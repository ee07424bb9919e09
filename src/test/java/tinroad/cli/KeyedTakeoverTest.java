package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that no keyed request runs twice while a new process of the gateway takes over from one or
 * two earlier ones.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class KeyedTakeoverTest extends ConnectionRaceHarness {
    private static final String KEYED = "new-order";
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final int DEADLINE_MILLIS = 60_000;
    private static final int STOP_MILLIS = 61_000;

    private final List<Process> replaced = new ArrayList<>();
    private InetSocketAddress address;

    private void startFirst(int deadlineMillis) throws Exception {
        editConfig =
                text ->
                        text.replace("\"single_shot\"", "\"guarded\", \"key_ttl\": 900000.0")
                                .replace("6000.0", deadlineMillis + ".0");
        address = start(1024, STOP_MILLIS);
    }

    @AfterEach
    void killReplaced() throws Exception {
        for (Process process : replaced) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Starts one more process on the same address and waits until it listens. */
    private void startNext() throws Exception {
        replaced.add(gateway);
        UnaryOperator<String> editFirst = editConfig;
        String anyPort = "\"listen\": \"127.0.0.1:0\"";
        editConfig =
                text ->
                        editFirst
                                .apply(text)
                                .replace(anyPort, anyPort.replace(":0", ":" + address.getPort()));
        startListening(1024, STOP_MILLIS);
    }

    private Socket attempt(int n) throws Exception {
        Socket caller = connect(address, "127.0.0.1");
        caller.getOutputStream().write(request(n, KEYED, "acme", TOKEN));
        return caller;
    }

    /** Sends SIGTERM to the process that was replaced last, and waits until it ends. */
    private void endReplaced() throws Exception {
        Process process = replaced.get(replaced.size() - 1);
        signal(process, "TERM");
        assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Waits until the replaced process has closed its listener. */
    private void awaitSingleListener() throws Exception {
        while (listeners() != 1) {
            Thread.onSpinWait();
        }
    }

    /** Counts the listeners on the port, as the system lists them for both versions of IP. */
    private long listeners() throws IOException {
        Pattern listener =
                Pattern.compile(
                        String.format(" [0-9A-F]+:%04X [0-9A-F]+:0000 0A ", address.getPort()));
        long listeners = 0;
        for (String list : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            listeners +=
                    Files.readAllLines(Path.of(list)).stream()
                            .filter(line -> listener.matcher(line).find())
                            .count();
        }
        return listeners;
    }

    private String takeJob() throws InterruptedException {
        String job = receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertNotNull(job, "no run");
        return job;
    }

    /** Guards against a second run while the first one still runs in the process replaced. */
    @Test
    void attemptAtTheNextProcessWaitsForTheRunOfTheReplacedOne() throws Exception {
        startFirst(DEADLINE_MILLIS);
        completesRuns = false;
        Socket first = attempt(1);
        String job = takeJob();
        Socket link = currentLink;
        startNext();
        signal(replaced.get(0), "TERM");
        awaitSingleListener();
        Socket second = attempt(2);
        // Answered by the next process once it has read the attempt before it.
        completesRuns = true;
        assertEquals("Status: 200 OK", exchange(connect(address, "127.0.0.1"), 3));
        done(link, job);
        assertEquals("Status: 200 OK", readResponseStatus(first));
        assertEquals("Status: 200 OK", readResponseStatus(second));
        assertEquals(1, receivedJobs.size(), "only request 3 ran besides");
    }

    /**
     * Guards against a second run of what ran before the next process started, or the one after.
     */
    @Test
    void attemptAfterTwoReplacementsGetsTheResultOfTheRun() throws Exception {
        startFirst(DEADLINE_MILLIS);
        Socket first = attempt(1);
        assertEquals("Status: 200 OK", readResponseStatus(first));
        startNext();
        endReplaced();
        assertEquals("Status: 200 OK", readResponseStatus(attempt(2)));
        startNext();
        endReplaced();
        assertEquals("Status: 200 OK", readResponseStatus(attempt(3)));
        assertEquals(1, receivedJobs.size(), "runs");
    }

    /** Guards against a second run after the process that had it was killed. */
    @Test
    void attemptDoesNotRunAgainIfTheProcessThatRanItWasKilled() throws Exception {
        startFirst(2000);
        completesRuns = false;
        attempt(1);
        takeJob();
        startNext();
        replaced.get(0).destroyForcibly().waitFor();
        Socket second = attempt(2);
        completesRuns = true;
        assertEquals("Status: 200 OK", exchange(connect(address, "127.0.0.1"), 3));
        assertEquals("Status: 500 Internal Server Error", readResponseStatus(second));
        assertEquals(1, receivedJobs.size(), "only request 3 ran besides");
    }

    /** Guards against claims of an earlier incarnation that bind a gateway which starts anew. */
    @Test
    void attemptRunsIfTheGatewayStartedAnewAlone() throws Exception {
        startFirst(DEADLINE_MILLIS);
        assertEquals("Status: 200 OK", readResponseStatus(attempt(1)));
        gateway.destroyForcibly().waitFor();
        address = start(1024, STOP_MILLIS);
        assertEquals("Status: 200 OK", readResponseStatus(attempt(2)));
        assertEquals(2, receivedJobs.size(), "runs");
    }
}
