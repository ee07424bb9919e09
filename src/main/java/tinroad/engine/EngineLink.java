package tinroad.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Engine;
import tinroad.core.Progress;
import tinroad.log.LogKeyValues;

/**
 * The link to the engine: attaches, passes on events, reconnects after a failure, and switches to
 * another address. Commands go to one connection at a time; events are also read from earlier
 * connections until those end.
 *
 * <p>The link stores no requests: while it is down, {@link #run} returns NOT_SENT. When it fails,
 * {@code core.EngineRecovery} decides what happens to the requests in flight and which are sent
 * again; {@code core.DeadlineGuard} answers a request whose run was lost for good at its deadline.
 * The listener's methods are called in the order that {@link Engine.Listener} describes: onDetached
 * (not when the address is switched), then after a reconnect onAttached, the events from before,
 * and onCaughtUp.
 *
 * <p>Owned by the event loop; only {@link #engineReachable} may be called on other threads.
 */
public final class EngineLink implements Engine {
    /**
     * Tag of the request for gauges that follows HELLO. Its reply comes after all events from
     * before the connection. No timer uses this tag.
     */
    static final String CATCH_UP_TAG = "catch-up";

    /**
     * Time for which a retired connection is still read; then it is closed if a new one has taken
     * over, and otherwise read for as long again.
     */
    private static final long HANDOVER_MILLIS = 500;

    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final EventLoop eventLoop;
    private final List<String> gaugeNames;
    private final EngineConnector connector;
    private Listener listener;

    /** The connection on which HELLO was read, to which commands go; null if there is none. */
    private ChannelHandlerContext activeConnection;

    /**
     * Whether the link is attached or, before it was attached for the first time, connected: the
     * engine may start long after the gateway.
     */
    private volatile boolean engineReachable;

    private boolean attachedOnce;
    private long lastEventNumber;

    /**
     * Creates a link of gateway {@code name} to the engine at {@code address}.
     *
     * @param gaugeNames the names of the gauges, in the order in which the engine sends them
     * @param seed seed of the jitter between attempts to connect
     */
    public EngineLink(
            EventLoop eventLoop,
            InetSocketAddress address,
            List<String> gaugeNames,
            String name,
            long seed) {
        this.eventLoop = eventLoop;
        this.gaugeNames = gaugeNames;
        connector = new EngineConnector(eventLoop, address, name, seed, this::handlers);
    }

    /** Connects, and reconnects after failures; {@code newListener} receives the events. */
    public void start(Listener newListener) {
        setListener(newListener);
        connector.connect();
    }

    /** Sets the listener that receives the engine's events. */
    public void setListener(Listener newListener) {
        listener = newListener;
    }

    /**
     * Switches to another address; does nothing if it is the current one. No command is sent until
     * the engine answers there. The connection to the old address is read until then, so that no
     * event is missed.
     */
    public void switchEndpoint(InetSocketAddress newAddress) {
        if (newAddress.equals(connector.address())) {
            return;
        }
        LogKeyValues.with(LOG.atInfo(), "engine", newAddress)
                .log("switching endpoint to {}", newAddress);
        connector.setAddress(newAddress);
        retireActive();
        connector.connect();
    }

    /** Sends no more commands to the active connection; it is closed after the next takes over. */
    private void retireActive() {
        if (activeConnection != null) {
            ChannelHandlerContext retiredConnection = activeConnection;
            activeConnection = null;
            engineReachable = false;
            scheduleClose(retiredConnection);
        }
    }

    private void scheduleClose(ChannelHandlerContext retiredConnection) {
        Future<?> unused =
                eventLoop.schedule(
                        () -> closeOnceReplaced(retiredConnection),
                        HANDOVER_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void closeOnceReplaced(ChannelHandlerContext retiredConnection) {
        if (activeConnection != null) {
            EngineConnection.close(retiredConnection);
        } else if (retiredConnection.channel().isActive()) {
            scheduleClose(retiredConnection);
        }
    }

    /** Creates the channel handlers of one connection to the engine. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new LineBasedFrameDecoder(EngineProtocol.MAX_LINE_BYTES),
            new EngineConnection(this, connector.latestAttempt())
        };
    }

    /** Whether the engine answers at its address; may be called on any thread. */
    public boolean engineReachable() {
        return engineReachable;
    }

    @Override
    public Progress run(String id, String requestClass, ByteBuf body) {
        if (activeConnection == null) {
            return Progress.NOT_SENT;
        }
        EngineCommands.run(activeConnection, id, requestClass, body);
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        // If the engine has stopped reading, requests for gauges must not accumulate.
        if (activeConnection == null || !activeConnection.channel().isWritable()) {
            return false;
        }
        EngineCommands.requestGauges(activeConnection, tag);
        return true;
    }

    InetSocketAddress address() {
        return connector.address();
    }

    List<String> gaugeNames() {
        return gaugeNames;
    }

    Listener listener() {
        return listener;
    }

    long lastEventNumber() {
        return lastEventNumber;
    }

    boolean isLatest(int attempt) {
        return attempt == connector.latestAttempt();
    }

    boolean isActive(ChannelHandlerContext connection) {
        return connection == activeConnection;
    }

    /**
     * Whether the event has not been read before. The engine may send events again after a new
     * ATTACH, and each counts once.
     */
    boolean isNew(EngineEvent event) {
        if (event.number() <= 0) {
            return true;
        }
        if (event.number() <= lastEventNumber) {
            return false;
        }
        lastEventNumber = event.number();
        return true;
    }

    /** Called when the latest attempt has connected, before the engine has answered. */
    void onConnected() {
        engineReachable |= !attachedOnce;
    }

    /** Called when the engine has answered on the latest connection; commands now go there. */
    void attach(ChannelHandlerContext connection, EngineEvent.Hello event) {
        activeConnection = connection;
        attachedOnce = true;
        engineReachable = true;
        connector.resetBackoff();
        // Not sent if the connection can't be written; then catching up waits for the next one.
        boolean unused = requestGauges(CATCH_UP_TAG);
        listener.onAttached(event.newProcess(), event.startedMillisAgo());
    }

    /**
     * Called when a connection ended. If it was the active one, the link is down until the next
     * {@link #attach}.
     */
    void onDisconnected(ChannelHandlerContext connection, int attempt) {
        if (connection == activeConnection) {
            activeConnection = null;
            listener.onDetached();
        }
        if (activeConnection == null) {
            engineReachable = false;
        }
        connector.reconnectAfter(attempt);
    }
}
