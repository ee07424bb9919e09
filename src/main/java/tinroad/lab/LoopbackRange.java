package tinroad.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * A range of loopback addresses, {@code 127.X.Y.0} to {@code .253}, that no other lab uses: its
 * ports are then free, whatever they are.
 */
public final class LoopbackRange implements AutoCloseable {
    private static final int LOCK_HOST = 254;
    private static final int TRIES = 4000;

    private final String net;
    private final ServerSocket lock;

    private LoopbackRange(String net, ServerSocket lock) {
        this.net = net;
        this.lock = lock;
    }

    /** A range that is free; labs that exclude each other take it by the same port. */
    public static LoopbackRange take(int port) throws IOException {
        for (int n = 0; n < TRIES; n++) {
            long start = ProcessHandle.current().pid() + n + (System.nanoTime() >> 10 & 0xff);
            String net = "127." + (20 + start % 200) + "." + (1 + start / 200 % 250) + ".";
            try {
                return new LoopbackRange(
                        net, new ServerSocket(port, 1, InetAddress.getByName(net + LOCK_HOST)));
            } catch (BindException e) {
                // Another lab's.
            }
        }
        throw new IOException("no range of loopback addresses is free");
    }

    /** What the addresses begin with, the last dot included. */
    public String net() {
        return net;
    }

    /** An address of the range. */
    public InetSocketAddress address(int host, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByName(net + host), port);
        } catch (UnknownHostException e) {
            // Can't happen: it is a literal address.
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
