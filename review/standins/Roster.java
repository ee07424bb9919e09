import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;

/** The roster: takes reports and answers none. */
final class Roster {
    private final DatagramSocket socket;
    private volatile String lastReport = "";

    Roster(Record record) throws IOException {
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Thread reader = new Thread(() -> read(record), "roster");
        reader.setDaemon(true);
        reader.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void read(Record record) {
        byte[] bytes = new byte[512];
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
                socket.receive(packet);
                String report =
                        new String(bytes, 0, packet.getLength(), StandardCharsets.US_ASCII);
                if (!report.equals(lastReport)) {
                    lastReport = report;
                    record.line("roster: %s", report.trim());
                }
            }
        } catch (IOException e) {
            record.line("roster closed");
        }
    }
}
