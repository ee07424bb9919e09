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

/** Tests the reports on an ephemeral loopback port. */
class LoadReporterTest {
    private static final int TIMEOUT_MILLIS = 60_000;

    /** Port from which the latest report came. */
    private static int lastSenderPort;

    /** The system's provider, which also records the selectors and so gives access to channels. */
    private static final class RecordingProvider extends SelectorProvider {
        private final SelectorProvider delegate = SelectorProvider.provider();
        private final List<AbstractSelector> selectors;

        RecordingProvider(List<AbstractSelector> selectors) {
            this.selectors = selectors;
        }

        @Override
        public DatagramChannel openDatagramChannel() throws IOException {
            return delegate.openDatagramChannel();
        }

        @Override
        public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
            return delegate.openDatagramChannel(family);
        }

        @Override
        public Pipe openPipe() throws IOException {
            return delegate.openPipe();
        }

        @Override
        public AbstractSelector openSelector() throws IOException {
            AbstractSelector selector = delegate.openSelector();
            selectors.add(selector);
            return selector;
        }

        @Override
        public ServerSocketChannel openServerSocketChannel() throws IOException {
            return delegate.openServerSocketChannel();
        }

        @Override
        public SocketChannel openSocketChannel() throws IOException {
            return delegate.openSocketChannel();
        }
    }

    private static String receive(DatagramSocket registry) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        registry.receive(packet);
        lastSenderPort = packet.getPort();
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    @Test
    void reportsAChangeAtOnceAndThenPeriodically() throws IOException {
        MultiThreadIoEventLoopGroup eventLoopGroup =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            registry.setSoTimeout(TIMEOUT_MILLIS);
            LoadReporter reporter =
                    new LoadReporter(
                            eventLoopGroup.next(),
                            (InetSocketAddress) registry.getLocalSocketAddress(),
                            "n3",
                            1);
            eventLoopGroup
                    .next()
                    .execute(
                            () -> {
                                reporter.start();
                                // The socket is not open yet; the report must be sent as soon as it
                                // is.
                                reporter.report(true);
                            });
            assertEquals("HERE n3 on", receive(registry));
            eventLoopGroup.next().execute(() -> reporter.report(false));
            assertEquals("HERE n3 off", receive(registry));
            assertEquals("HERE n3 off", receive(registry), "the periodic report");
            try (DatagramSocket newRegistry =
                    new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                newRegistry.setSoTimeout(TIMEOUT_MILLIS);
                eventLoopGroup
                        .next()
                        .execute(
                                () ->
                                        reporter.switchEndpoint(
                                                (InetSocketAddress)
                                                        newRegistry.getLocalSocketAddress()));
                assertEquals("HERE n3 off", receive(newRegistry), "the report to a new address");
            }
        } finally {
            eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    @Test
    void reopensASocketThatWasClosed() throws Exception {
        List<AbstractSelector> selectors = new ArrayList<>();
        MultiThreadIoEventLoopGroup eventLoopGroup =
                new MultiThreadIoEventLoopGroup(
                        1,
                        NioIoHandler.newFactory(
                                new RecordingProvider(selectors),
                                DefaultSelectStrategyFactory.INSTANCE));
        try (DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            registry.setSoTimeout(TIMEOUT_MILLIS);
            LoadReporter reporter =
                    new LoadReporter(
                            eventLoopGroup.next(),
                            (InetSocketAddress) registry.getLocalSocketAddress(),
                            "n3",
                            1);
            eventLoopGroup
                    .next()
                    .execute(
                            () -> {
                                reporter.start();
                                reporter.report(true);
                            });
            assertEquals("HERE n3 on", receive(registry));
            eventLoopGroup
                    .next()
                    .submit(
                            () -> {
                                for (SelectionKey key : selectors.get(0).keys()) {
                                    key.channel().close();
                                }
                                return null;
                            })
                    .sync();
            // Reports that were sent before the socket closed may still arrive; later ones can only
            // come from another socket.
            int closedSocketPort = lastSenderPort;
            while (lastSenderPort == closedSocketPort) {
                assertEquals("HERE n3 on", receive(registry));
            }
        } finally {
            eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
