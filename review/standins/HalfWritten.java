import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients: each opens a connection, writes the beginnings of requests at full speed, and then
 * says nothing more. It reads what it is sent until the gateway ends the connection.
 */
final class HalfWritten {
    private static final int BEGIN = 1;
    private static final int PARAMS = 4;
    private static final byte[] RESPONDER_KEEP_CONN = {0, 1, 1, 0, 0, 0, 0, 0};
    private static final int LONG_RECORD_BYTES = 16 * 1024;

    private final int port;
    private final byte[] bytes;
    private final boolean again;
    private final AtomicInteger connects = new AtomicInteger();
    private volatile boolean over;

    /**
     * Creates bad clients that write these bytes.
     *
     * @param again whether each does the same thing again as soon as it is turned away
     */
    HalfWritten(int port, byte[] bytes, boolean again) {
        this.port = port;
        this.bytes = bytes;
        this.again = again;
    }

    /** One request whose parameters are one record of 16 KiB, but for its last byte. */
    static byte[] halfRecord() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ProxyConnection.put(bytes, BEGIN, 1, RESPONDER_KEEP_CONN);
        ProxyConnection.put(bytes, PARAMS, 1, new byte[LONG_RECORD_BYTES]);
        byte[] all = bytes.toByteArray();
        return java.util.Arrays.copyOf(all, all.length - 1);
    }

    /** This many requests, of which each has 16 KiB of parameters and no end. */
    static byte[] unfinishedRequests(int count) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int id = 1; id <= count; id++) {
            ProxyConnection.put(bytes, BEGIN, id, RESPONDER_KEEP_CONN);
            ProxyConnection.put(bytes, PARAMS, id, new byte[LONG_RECORD_BYTES]);
        }
        return bytes.toByteArray();
    }

    void start(int clients) {
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(null, this::client, "bad", 128 * 1024);
            thread.setDaemon(true);
            thread.start();
        }
    }

    int connects() {
        return connects.get();
    }

    /** Ends what the clients do: none connects again. */
    void stop() {
        over = true;
    }

    private void client() {
        do {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                connects.incrementAndGet();
                socket.getOutputStream().write(bytes);
                while (!over && socket.getInputStream().read() >= 0) {
                    // The gateway owes such a client a refusal, an error or a close.
                }
            } catch (IOException e) {
                pause();
            }
        } while (again && !over);
    }

    private static void pause() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
