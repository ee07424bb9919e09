package tinroad.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller;
import tinroad.overload.OverloadController;

/**
 * Tests the adapter's protocol: exact output lines, malformed input, and controllers of several
 * servers that do not affect each other.
 */
class SimulatorAdapterTest {
    private static final String CONF =
            "{\"classes\":[{\"objective\":1000.0,\"deadline\":4000.0,\"gain\":1.0,"
                + "\"semantics\":\"free\",\"novelty\":3}],\"family_info\":{\"cores\":2,\"memory_kb\":9000.0,"
                + "\"run_factor\":4.0,\"idle\":30000.0,\"callers\":2,\"say\":\"none\",\"halt\":\"drop\"},"
                + "\"rules\":{\"fall_multiple\":5.0,\"fall\":1500.0,\"answer_slack\":60.0},\"step\":5.0,"
                + "\"unheard_of\":[1,{\"a\":null}]}";

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String begin(int server) {
        return "{\"t\":\"begin\",\"server_id\":"
                + server
                + ",\"init_seed\":18446744073709551615,\"conf\":"
                + CONF
                + "}";
    }

    private static String req(int server, String id) {
        return "{\"t\":\"req\",\"server_id\":"
                + server
                + ",\"txn\":\""
                + id
                + "\",\"held_kb\":10.0,\"valid_until\":5000.0,\"by\":1,\"age\":1.0,\"precedence\":0.5,\"qos\":0,\"x\":{}}";
    }

    private static String batch(int turn, double moment, String... events) {
        return "{\"t\":\"mark\",\"moment\":"
                + moment
                + ",\"turn\":"
                + turn
                + "}\n"
                + String.join("\n", events)
                + (events.length > 0 ? "\n" : "")
                + "{\"t\":\"eob\"}\n";
    }

    private String runAdapter(Function<Controller.Actions, Controller> factory, String input)
            throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(
                        factory,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void anEmptyBatchIsAcknowledged() throws IOException {
        assertEquals(
                "{\"t\":\"ack\",\"turn\":1}\n",
                runAdapter(OverloadController::new, batch(1, 8412.25)));
    }

    @Test
    void eventsBecomeActionsInOrder() throws IOException {
        String input =
                batch(1, 1000, begin(3), req(3, "0a"))
                        + batch(
                                2,
                                1100,
                                "{\"t\":\"ended\",\"server_id\":3,\"txn\":\"0a\",\"wait_time\":100.0,\"code\":\"Ok\"}");
        assertEquals(
                String.join(
                        "\n",
                        "{\"t\":\"readiness\",\"server_id\":3,\"enable\":true,\"cached\":true}",
                        "{\"t\":\"keepalive\",\"server_id\":3,\"keep_for\":5000.0}",
                        "{\"t\":\"after\",\"server_id\":3,\"token\":\"tick\",\"sleep_for\":20.0}",
                        "{\"t\":\"serve\",\"server_id\":3,\"txn\":\"0a\"}",
                        "{\"t\":\"ack\",\"turn\":1}",
                        "{\"t\":\"ack\",\"turn\":2}",
                        ""),
                runAdapter(OverloadController::new, input));
    }

    @Test
    void everyActionIsWrittenInItsWireFormat() throws IOException {
        Function<Controller.Actions, Controller> callsEveryAction =
                actions ->
                        (Controller)
                                Proxy.newProxyInstance(
                                        SimulatorAdapterTest.class.getClassLoader(),
                                        new Class<?>[] {Controller.class},
                                        (p, m, args) -> {
                                            actions.run("a");
                                            actions.reject("b", 0, false);
                                            actions.reject("c", 250, true);
                                            actions.fail("d");
                                            actions.cancel("e");
                                            actions.callDependency("f", 80);
                                            actions.skipDependency("g");
                                            actions.retainKey("h", 8000);
                                            actions.releaseKey("i");
                                            actions.replayResult("j");
                                            actions.setHealth(false, true);
                                            actions.advertiseLoad(0.25);
                                            actions.setIdleTimeout(2000);
                                            actions.scheduleTimer("sweep", 500);
                                            actions.log("two \"servers\"");
                                            return null;
                                        });
        assertEquals(
                String.join(
                        "\n",
                        "{\"t\":\"serve\",\"server_id\":1,\"txn\":\"a\"}",
                        "{\"t\":\"not_now\",\"server_id\":1,\"txn\":\"b\"}",
                        "{\"t\":\"not_now\",\"server_id\":1,\"txn\":\"c\",\"hold_off\":250.0,\"terminal\":true}",
                        "{\"t\":\"report_failure\",\"server_id\":1,\"txn\":\"d\"}",
                        "{\"t\":\"yank\",\"server_id\":1,\"txn\":\"e\"}",
                        "{\"t\":\"reach_out\",\"server_id\":1,\"txn\":\"f\",\"within\":80.0}",
                        "{\"t\":\"degrade\",\"server_id\":1,\"txn\":\"g\"}",
                        "{\"t\":\"record_key\",\"server_id\":1,\"txn\":\"h\",\"keep_for\":8000.0}",
                        "{\"t\":\"evict\",\"server_id\":1,\"txn\":\"i\"}",
                        "{\"t\":\"reuse\",\"server_id\":1,\"txn\":\"j\"}",
                        "{\"t\":\"readiness\",\"server_id\":1,\"enable\":false,\"cached\":true}",
                        "{\"t\":\"stamp\",\"server_id\":1,\"x\":0.25}",
                        "{\"t\":\"keepalive\",\"server_id\":1,\"keep_for\":2000.0}",
                        "{\"t\":\"after\",\"server_id\":1,\"token\":\"sweep\",\"sleep_for\":500.0}",
                        "{\"t\":\"trace\",\"server_id\":1,\"reason_text\":\"two \\\"servers\\\"\"}",
                        "{\"t\":\"ack\",\"turn\":1}",
                        ""),
                runAdapter(callsEveryAction, batch(1, 1, begin(1))));
    }

    @Test
    void aServerMayStopAndBeginAgainInOneBatch() throws IOException {
        String out =
                runAdapter(
                        OverloadController::new,
                        batch(1, 1000, begin(3), req(3, "0a"))
                                + batch(2, 1100, "{\"t\":\"stop\",\"server_id\":3}", begin(3)));
        assertEquals(2, out.lines().filter(l -> l.contains("readiness")).count());
    }

    @Test
    void instancesShareNothing() throws IOException {
        String together =
                runAdapter(
                        OverloadController::new,
                        batch(1, 1000, begin(3), begin(4))
                                + batch(
                                        2,
                                        1010,
                                        req(3, "0a"),
                                        req(4, "0b"),
                                        req(3, "0c"),
                                        req(3, "0d")));
        String alone =
                runAdapter(
                        OverloadController::new,
                        batch(1, 1000, begin(3))
                                + batch(2, 1010, req(3, "0a"), req(3, "0c"), req(3, "0d")));
        List<String> ofServer3 =
                together.lines().filter(l -> l.contains("\"server_id\":3")).toList();
        assertEquals(alone.lines().filter(l -> l.contains("server_id")).toList(), ofServer3);
    }

    @Test
    void malformedInputFailsWithTheLineAndTheReason() throws IOException {
        assertRejected("line 1: not JSON", "no json\n");
        assertRejected("line 1: not a JSON object", "[1]\n");
        assertRejected("line 1: expected mark, found eob", "{\"t\":\"eob\"}\n");
        assertRejected(
                "line 2: unknown event shout", batch(1, 1, "{\"t\":\"shout\",\"server_id\":1}"));
        assertRejected(
                "line 2: req for server_id 9, which has not begun", batch(1, 1, req(9, "0a")));
        assertRejected(
                "line 3: missing or malformed field held_kb in req",
                batch(1, 1, begin(1), "{\"t\":\"req\",\"server_id\":1,\"txn\":\"0a\",\"qos\":0}"));
        assertRejected(
                "line 1: input ended inside a batch",
                "{\"t\":\"mark\",\"moment\":1.0,\"turn\":1}\n");
    }

    private void assertRejected(String reason, String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter adapter =
                new SimulatorAdapter(
                        OverloadController::new,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        System.err);
        String text = assertThrows(IOException.class, adapter::run).getMessage();
        assertTrue(text.startsWith(reason) && text.lines().count() == 1, text);
        assertTrue(!out.toString(StandardCharsets.UTF_8).contains("ack"));
    }

    @Test
    void anExceptionInAControllerBecomesACrash() throws IOException {
        String out =
                runAdapter(
                        actions -> {
                            throw new IllegalStateException("index out of range");
                        },
                        batch(1, 1, begin(1)));
        assertTrue(
                out.startsWith(
                        "{\"t\":\"crash\",\"server_id\":1,\"reason_text\":\"java.lang.IllegalStateExc"),
                out);
        assertTrue(
                err.toString(StandardCharsets.UTF_8)
                        .contains("at tinroad.simulator.SimulatorAdapterTest"));
    }
}
