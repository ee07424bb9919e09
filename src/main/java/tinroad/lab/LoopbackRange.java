package tinroad.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Reserves a range of loopback addresses, {@code 127.X.Y.0} to {@code .253}, that no other lab
 * uses, so that every port on these addresses is free.
 */
public final class LoopbackRange implements AutoCloseable {
    private static final int LOCK_HOST = 254;
    private static final int MAX_TRIES = 4000;

    private final String net;
    private final ServerSocket lock;

    private LoopbackRange(String net, ServerSocket lock) {
        this.net = net;
        this.lock = lock;
    }

    /** Reserves a free range. Labs exclude each other only if they use the same lock port. */
    public static LoopbackRange take(int lockPort) throws IOException {
        for (int n = 0; n < MAX_TRIES; n++) {
            long start = ProcessHandle.current().pid() + n + (System.nanoTime() >> 10 & 0xff);
            String net = "127." + (20 + start % 200) + "." + (1 + start / 200 % 250) + ".";
            try {
                return new LoopbackRange(
                        net, new ServerSocket(lockPort, 1, InetAddress.getByName(net + LOCK_HOST)));
            } catch (BindException e) {
                // Another lab uses this range.
            }
        }
        throw new IOException("no range of loopback addresses is free");
    }

    /** The common prefix of the addresses, including the last dot. */
    public String net() {
        return net;
    }

    /** Returns an address of the range. */
    public InetSocketAddress address(int host, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByName(net + host), port);
        } catch (UnknownHostException e) {
            // Can't happen: a literal address needs no name lookup.
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
