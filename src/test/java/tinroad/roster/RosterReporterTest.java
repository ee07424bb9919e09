package tinroad.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The reports, on an ephemeral loopback port. */
class RosterReporterTest {
    private static final int HUNG_MS = 60_000;

    private static String receive(DatagramSocket roster) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        roster.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    @Test
    void aChangeIsReportedAtOnceAndThenAgainAndAgain() throws IOException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket roster = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            roster.setSoTimeout(HUNG_MS);
            RosterReporter reporter = new RosterReporter(group.next(),
                    (InetSocketAddress) roster.getLocalSocketAddress(), "n3", 1);
            group.next().execute(() -> {
                reporter.start();
                // The socket is not open yet: the report must go out as soon as it is.
                reporter.report(true);
            });
            assertEquals("HERE n3 on", receive(roster));
            group.next().execute(() -> reporter.report(false));
            assertEquals("HERE n3 off", receive(roster));
            assertEquals("HERE n3 off", receive(roster), "the periodic one");
            try (DatagramSocket next = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                next.setSoTimeout(HUNG_MS);
                group.next().execute(() -> reporter.move((InetSocketAddress) next.getLocalSocketAddress()));
                assertEquals("HERE n3 off", receive(next), "at a new address");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
