package tinroad.lab.relay;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures what a relay adds to the time of a round trip. Run by hand on a machine without other
 * load; prints microseconds.
 */
public final class RelayCost {
    private static final int ROUND_TRIPS = 40_000;
    private static final int MESSAGE_BYTES = 500;

    private RelayCost() {}

    /** Prints, twice, one line without a relay and one with it. */
    public static void main(String[] args) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread echo =
                    new Thread(
                            () -> {
                                while (true) {
                                    try (Socket socket = target.accept()) {
                                        socket.setTcpNoDelay(true);
                                        for (byte[] message =
                                                        socket.getInputStream()
                                                                .readNBytes(MESSAGE_BYTES);
                                                message.length == MESSAGE_BYTES;
                                                message =
                                                        socket.getInputStream()
                                                                .readNBytes(MESSAGE_BYTES)) {
                                            socket.getOutputStream().write(message);
                                        }
                                    } catch (IOException e) {
                                        return;
                                    }
                                }
                            });
            echo.setDaemon(true);
            echo.start();
            InetSocketAddress targetAddress = (InetSocketAddress) target.getLocalSocketAddress();
            InetSocketAddress relayAddress;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                relayAddress = (InetSocketAddress) free.getLocalSocketAddress();
            }
            new StreamRelay(
                            group,
                            relayAddress,
                            targetAddress,
                            from -> new LinkFaults(),
                            false,
                            () -> {},
                            from -> {})
                    .listen();
            for (int round = 0; round < 2; round++) {
                print("direct", measure(targetAddress));
                print("relay", measure(relayAddress));
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static Histogram measure(InetSocketAddress address) throws IOException {
        Histogram micros = new Histogram(10_000_000, 3);
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setTcpNoDelay(true);
            byte[] bytes = new byte[MESSAGE_BYTES];
            for (int i = 0; i < ROUND_TRIPS; i++) {
                long startNanos = System.nanoTime();
                caller.getOutputStream().write(bytes);
                caller.getInputStream().readNBytes(MESSAGE_BYTES);
                if (i > ROUND_TRIPS / 4) {
                    micros.recordValue((System.nanoTime() - startNanos) / 1000);
                }
            }
        }
        return micros;
    }

    private static void print(String label, Histogram micros) {
        System.out.printf(
                "%-7s p50 %d us, p99 %d us, p99.9 %d us%n",
                label,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99),
                micros.getValueAtPercentile(99.9));
    }
}
