package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;
import tinroad.operator.FleetSettings;
import tinroad.operator.StateSettings;
import tinroad.overload.Controller;

/**
 * Tests a complete gateway on ephemeral loopback ports: it starts, answers health checks, drains
 * and ends.
 */
@Timeout(180)
class GatewayNodeTest {
    private static final int TIMEOUT_MILLIS = 60_000;

    /** BEGIN_REQUEST, PARAMS with SCRIPT_NAME=/healthz, and the ends of PARAMS and STDIN. */
    private static final String HEALTH_CHECK =
            "\1\1\0\1\0\10\0\0\0\1\1\0\0\0\0\0\1\4\0\1\0\25\0\0\13\10SCRIPT_NAME/healthz"
                    + "\1\4\0\1\0\0\0\0\1\5\0\1\0\0\0\0";

    private static InetSocketAddress ephemeralLoopbackAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static GatewayConfig config(ServerSocket engine, DatagramSocket registry) {
        Controller.Settings settings =
                new Controller.Settings(
                        List.of(
                                new Controller.RequestClass(
                                        500,
                                        0,
                                        1000,
                                        1,
                                        0,
                                        Controller.Idempotency.IDEMPOTENT,
                                        0,
                                        false,
                                        0)),
                        List.of(),
                        new Controller.ObjectiveWeights(1, 0, 0, 0),
                        new Controller.OperatingLimits(100, 1, 0, 2500, 8, 1500),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        Controller.LoadHint.NONE,
                        Controller.CancellationMode.NONE,
                        2,
                        1,
                        1,
                        false,
                        false,
                        15000,
                        9000,
                        4,
                        70,
                        0,
                        1000,
                        true,
                        false,
                        0.1,
                        5,
                        false);
        return new GatewayConfig(
                "n3",
                ephemeralLoopbackAddress(),
                ephemeralLoopbackAddress(),
                (InetSocketAddress) engine.getLocalSocketAddress(),
                (InetSocketAddress) registry.getLocalSocketAddress(),
                1,
                600,
                1024,
                192,
                new Site(settings, List.of("read"), List.of(), List.of("core_use")));
    }

    private static String checkHealth(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            client.getOutputStream().write(HEALTH_CHECK.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = client.getInputStream();
            in.readNBytes(8);
            return new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1))
                    .readLine();
        }
    }

    /**
     * Sends a health check followed by 300,000 bytes that are no records, so that the framing is
     * lost with much input unread; the response to the health check must still arrive.
     */
    private static String checkHealthThenSendGarbage(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            client.getOutputStream()
                    .write(
                            (HEALTH_CHECK + "x".repeat(300_000))
                                    .getBytes(StandardCharsets.ISO_8859_1));
            byte[] response = client.getInputStream().readAllBytes();
            return new String(response, 8, response.length - 8, StandardCharsets.ISO_8859_1)
                    .lines()
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Test
    void servesOnceTheEngineIsReachableAndEndsOnTheShutdownNotice() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                GatewayNode node =
                        new GatewayNode(
                                config(engine, registry),
                                null,
                                StateSettings.NONE,
                                FleetSettings.NONE)) {
            engine.setSoTimeout(TIMEOUT_MILLIS);
            InetSocketAddress address = node.start().orElseThrow();
            try (Socket link = engine.accept()) {
                assertEquals("Status: 503 Service Unavailable", checkHealth(address));
                link.getOutputStream()
                        .write(
                                "{\"type\":\"HELLO\",\"state\":\"fresh\",\"took\":1}\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                registry.setSoTimeout(TIMEOUT_MILLIS);
                DatagramPacket report = new DatagramPacket(new byte[64], 64);
                registry.receive(report);
                assertEquals(
                        "HERE n3 on",
                        new String(
                                report.getData(), 0, report.getLength(), StandardCharsets.UTF_8));
                assertEquals("Status: 200 OK", checkHealth(address));
                assertEquals("Status: 200 OK", checkHealthThenSendGarbage(address));
                node.shutDownGracefully();
                node.awaitEnd(visitor -> config(engine, registry));
                assertThrows(IOException.class, () -> checkHealth(address));
            }
        }
    }

    @Test
    void startFailsWithTheAddressThatIsInUse() throws Exception {
        try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            GatewayConfig validConfig = config(engine, registry);
            GatewayConfig configWithTakenAddress =
                    new GatewayConfig(
                            validConfig.name(),
                            (InetSocketAddress) engine.getLocalSocketAddress(),
                            null,
                            validConfig.engine(),
                            validConfig.roster(),
                            1,
                            600,
                            1024,
                            192,
                            validConfig.site());
            try (GatewayNode node =
                    new GatewayNode(
                            configWithTakenAddress, null, StateSettings.NONE, FleetSettings.NONE)) {
                String message = assertThrows(IOException.class, node::start).getMessage();
                assertTrue(message.startsWith("can't listen on "), message);
            }
        }
    }
}
