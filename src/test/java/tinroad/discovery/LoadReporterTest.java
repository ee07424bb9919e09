package tinroad.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The reports, on an ephemeral loopback port. */
class LoadReporterTest {
    private static final int HUNG_MS = 60_000;

    private static int lastPort;

    /** The system's own provider; records the selectors, and so what is open. */
    private static final class RecordingProvider extends SelectorProvider {
        private final SelectorProvider system = SelectorProvider.provider();
        private final List<AbstractSelector> selectors;

        RecordingProvider(List<AbstractSelector> selectors) {
            this.selectors = selectors;
        }

        @Override
        public DatagramChannel openDatagramChannel() throws IOException {
            return system.openDatagramChannel();
        }

        @Override
        public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
            return system.openDatagramChannel(family);
        }

        @Override
        public Pipe openPipe() throws IOException {
            return system.openPipe();
        }

        @Override
        public AbstractSelector openSelector() throws IOException {
            AbstractSelector selector = system.openSelector();
            selectors.add(selector);
            return selector;
        }

        @Override
        public ServerSocketChannel openServerSocketChannel() throws IOException {
            return system.openServerSocketChannel();
        }

        @Override
        public SocketChannel openSocketChannel() throws IOException {
            return system.openSocketChannel();
        }
    }

    private static String receive(DatagramSocket registry) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        registry.receive(packet);
        lastPort = packet.getPort();
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    @Test
    void reportsAChangeAtOnceAndThenPeriodically() throws IOException {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            registry.setSoTimeout(HUNG_MS);
            LoadReporter reporter =
                    new LoadReporter(
                            group.next(),
                            (InetSocketAddress) registry.getLocalSocketAddress(),
                            "n3",
                            1);
            group.next()
                    .execute(
                            () -> {
                                reporter.start();
                                // The socket is not open yet: the report must go out as soon as it
                                // is.
                                reporter.report(true);
                            });
            assertEquals("HERE n3 on", receive(registry));
            group.next().execute(() -> reporter.report(false));
            assertEquals("HERE n3 off", receive(registry));
            assertEquals("HERE n3 off", receive(registry), "the periodic one");
            try (DatagramSocket next = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                next.setSoTimeout(HUNG_MS);
                group.next()
                        .execute(
                                () ->
                                        reporter.switchEndpoint(
                                                (InetSocketAddress) next.getLocalSocketAddress()));
                assertEquals("HERE n3 off", receive(next), "at a new address");
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    @Test
    void reopensASocketThatWasClosed() throws Exception {
        List<AbstractSelector> selectors = new ArrayList<>();
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        1,
                        NioIoHandler.newFactory(
                                new RecordingProvider(selectors),
                                DefaultSelectStrategyFactory.INSTANCE));
        try (DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            registry.setSoTimeout(HUNG_MS);
            LoadReporter reporter =
                    new LoadReporter(
                            group.next(),
                            (InetSocketAddress) registry.getLocalSocketAddress(),
                            "n3",
                            1);
            group.next()
                    .execute(
                            () -> {
                                reporter.start();
                                reporter.report(true);
                            });
            assertEquals("HERE n3 on", receive(registry));
            group.next()
                    .submit(
                            () -> {
                                for (SelectionKey key : selectors.get(0).keys()) {
                                    key.channel().close();
                                }
                                return null;
                            })
                    .sync();
            // What was sent before it closed may still come: the one after it can only be by
            // another socket.
            int before = lastPort;
            while (lastPort == before) {
                assertEquals("HERE n3 on", receive(registry));
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
