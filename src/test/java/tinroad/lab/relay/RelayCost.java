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
 * What a relay adds to a way there and back: run by hand, with quiet cores, and prints
 * microseconds.
 */
public final class RelayCost {
    private static final int TIMES = 40_000;
    private static final int BYTES = 500;

    private RelayCost() {}

    /** Prints a line without a relay, one with it. */
    public static void main(String[] args) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread echo =
                    new Thread(
                            () -> {
                                while (true) {
                                    try (Socket at = target.accept()) {
                                        at.setTcpNoDelay(true);
                                        for (byte[] all = at.getInputStream().readNBytes(BYTES);
                                                all.length == BYTES;
                                                all = at.getInputStream().readNBytes(BYTES)) {
                                            at.getOutputStream().write(all);
                                        }
                                    } catch (IOException e) {
                                        return;
                                    }
                                }
                            });
            echo.setDaemon(true);
            echo.start();
            InetSocketAddress to = (InetSocketAddress) target.getLocalSocketAddress();
            InetSocketAddress door;
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                door = (InetSocketAddress) free.getLocalSocketAddress();
            }
            new StreamRelay(group, door, to, from -> new LinkFaults(), false, () -> {}, from -> {})
                    .listen();
            for (int round = 0; round < 2; round++) {
                print("direct", measure(to));
                print("relay", measure(door));
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }

    private static Histogram measure(InetSocketAddress at) throws IOException {
        Histogram micros = new Histogram(10_000_000, 3);
        try (Socket caller = new Socket(at.getAddress(), at.getPort())) {
            caller.setTcpNoDelay(true);
            byte[] bytes = new byte[BYTES];
            for (int i = 0; i < TIMES; i++) {
                long begun = System.nanoTime();
                caller.getOutputStream().write(bytes);
                caller.getInputStream().readNBytes(BYTES);
                if (i > TIMES / 4) {
                    micros.recordValue((System.nanoTime() - begun) / 1000);
                }
            }
        }
        return micros;
    }

    private static void print(String what, Histogram micros) {
        System.out.printf(
                "%-7s p50 %d us, p99 %d us, p99.9 %d us%n",
                what,
                micros.getValueAtPercentile(50),
                micros.getValueAtPercentile(99),
                micros.getValueAtPercentile(99.9));
    }
}
