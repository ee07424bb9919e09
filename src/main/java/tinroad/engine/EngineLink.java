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
 * The link to the engine: attaches, passes events on, reconnects after it broke, and switches to
 * another address. Commands go to one connection at a time; events are read from earlier ones, too,
 * until those end.
 *
 * <p>Keeps no requests: while it is down {@link #run} returns NOT_SENT. What becomes of the
 * requests in flight when it breaks, and which are sent again, is decided in {@code
 * core.EngineRecovery}; a request whose run was lost for good is answered at its deadline by {@code
 * core.DeadlineGuard}. The order of calls is that of {@link Engine.Listener}: onDetached (not on a
 * switch of the address), then after a reconnect onAttached, the events from before, and
 * onCaughtUp.
 *
 * <p>The event loop owns all of it; only {@link #engineReachable} may be called from other threads.
 */
public final class EngineLink implements Engine {
    /**
     * Tag of the request for gauges that follows HELLO: its reply comes after all events from
     * before the connection. No timer has this tag.
     */
    static final String CATCH_UP_TAG = "catch-up";

    /**
     * How long an earlier connection is still read once a new one has taken over, in ms; then it is
     * closed.
     */
    private static final long HANDOVER_MILLIS = 500;

    private static final Logger LOG = LoggerFactory.getLogger("engine");

    private final EventLoop loop;
    private final List<String> gaugeNames;
    private final EngineConnector connector;
    private Listener listener;

    /** The connection that commands go to: HELLO was read on it. Null while there is none. */
    private ChannelHandlerContext active;

    /**
     * Attached or, before the first time, connected: the engine may come up long after the gateway.
     */
    private volatile boolean engineReachable;

    private boolean attachedOnce;
    private long lastEventNumber;

    /**
     * A link of gateway {@code name} to {@code address}.
     *
     * @param gaugeNames the names of the gauges, in the order in which the engine sends them
     * @param seed of the jitter between attempts to connect
     */
    public EngineLink(
            EventLoop loop,
            InetSocketAddress address,
            List<String> gaugeNames,
            String name,
            long seed) {
        this.loop = loop;
        this.gaugeNames = gaugeNames;
        connector = new EngineConnector(loop, address, name, seed, this::handlers);
    }

    /** Connects, and keeps connecting; {@code events} receives what the engine reports. */
    public void start(Listener events) {
        setListener(events);
        connector.connect();
    }

    /** Sets who receives what the engine reports. */
    public void setListener(Listener events) {
        listener = events;
    }

    /**
     * Switches to another address; nothing happens if it is the present one. Commands wait until
     * the engine answers there; the connection to the old address is read until then, so that no
     * event is missed.
     */
    public void switchEndpoint(InetSocketAddress to) {
        if (to.equals(connector.address())) {
            return;
        }
        LogKeyValues.with(LOG.atInfo(), "engine", to).log("switching endpoint to {}", to);
        connector.setAddress(to);
        retireActive();
        connector.connect();
    }

    /** No command goes to the active connection any more; it ends once the next has taken over. */
    private void retireActive() {
        if (active != null) {
            ChannelHandlerContext old = active;
            active = null;
            engineReachable = false;
            scheduleClose(old);
        }
    }

    private void scheduleClose(ChannelHandlerContext old) {
        Future<?> unused =
                loop.schedule(() -> closeOnceReplaced(old), HANDOVER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeOnceReplaced(ChannelHandlerContext old) {
        if (active != null) {
            EngineConnection.close(old);
        } else if (old.channel().isActive()) {
            scheduleClose(old);
        }
    }

    /** What a connection to the engine is read with. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new LineBasedFrameDecoder(EngineProtocol.MAX_LINE_BYTES),
            new EngineConnection(this, connector.latestAttempt())
        };
    }

    /** Whether the engine answers at its address; any thread may ask. */
    public boolean engineReachable() {
        return engineReachable;
    }

    @Override
    public Progress run(String id, String requestClass, ByteBuf body) {
        if (active == null) {
            return Progress.NOT_SENT;
        }
        EngineCommands.run(active, id, requestClass, body);
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        // Guards against an engine that has stopped reading: requests don't pile up.
        if (active == null || !active.channel().isWritable()) {
            return false;
        }
        EngineCommands.requestGauges(active, tag);
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
        return connection == active;
    }

    /** Guards against events that are sent again after a new ATTACH: each counts once. */
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

    /** The latest attempt has connected; the engine has not answered yet. */
    void onConnected() {
        engineReachable |= !attachedOnce;
    }

    /** The engine answered on the latest connection: commands go there from now on. */
    void attach(ChannelHandlerContext connection, EngineEvent.Hello event) {
        active = connection;
        attachedOnce = true;
        engineReachable = true;
        connector.resetBackoff();
        // Not sent on a connection that can't be written: then catching up waits for the next one.
        boolean unused = requestGauges(CATCH_UP_TAG);
        listener.onAttached(event.newProcess(), event.startedMillisAgo());
    }

    /**
     * A connection ended; if it was the active one, the link is down until the next {@link
     * #attach}.
     */
    void onDisconnected(ChannelHandlerContext connection, int attempt) {
        if (connection == active) {
            active = null;
            listener.onDetached();
        }
        if (active == null) {
            engineReachable = false;
        }
        connector.reconnectAfter(attempt);
    }
}
