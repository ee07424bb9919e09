package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Bad clients that connect by the hundreds and say nothing, read whatever they are sent, and do the
 * same again as soon as they are turned away.
 */
final class Crowd implements AutoCloseable {
    /** Loopback addresses that the clients come from, so that no port runs out. */
    private static final int SOURCES = 50;

    private final InetSocketAddress gateway;
    private final Selector selector = Selector.open();
    private final Thread thread = Engine.daemon(this::run, "crowd");
    private volatile boolean stopped;
    private volatile long connects;
    private int lastSource;

    Crowd(String address, int clients) throws IOException {
        int colon = address.lastIndexOf(':');
        gateway = new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)));
        for (int i = 0; i < clients; i++) {
            connect();
        }
        thread.start();
    }

    /** How often a client has connected so far. */
    long connects() {
        return connects;
    }

    private void connect() throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            lastSource = lastSource % SOURCES + 1;
            channel.bind(new InetSocketAddress(InetAddress.getByName("127.0.1." + lastSource), 0));
            boolean connected = channel.connect(gateway);
            channel.register(selector, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            connects += connected ? 1 : 0;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        int missing = 0;
        while (!stopped) {
            try {
                selector.select(20);
                for (SelectionKey key : selector.selectedKeys()) {
                    missing += ended(key, buffer) ? 1 : 0;
                }
                selector.selectedKeys().clear();
                for (; missing > 0; missing--) {
                    connect();
                }
            } catch (IOException e) {
                // Refused at once: this client comes again in the next round.
            }
        }
    }

    /** Goes on with one client; returns whether the gateway has turned it away. */
    private boolean ended(SelectionKey key, ByteBuffer buffer) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                connects++;
                key.interestOps(SelectionKey.OP_READ);
                return false;
            }
            if (channel.read(buffer.clear()) >= 0) {
                return false;
            }
        } catch (IOException e) {
            // Refused or reset: the same as turned away.
        }
        channel.close();
        return true;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopped = true;
        thread.join();
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
