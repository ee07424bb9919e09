package tinroad.fastcgi;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import tinroad.core.Clock;

/**
 * Closes a listener once the connections that wait in its queue are accepted. The close would reset
 * them and lose the requests that their clients have written. Clients may connect as fast as they
 * are accepted, so that the queue never becomes empty: no more connections are accepted than may
 * have waited when the close began, and for {@link #MAX_ACCEPT_MILLIS} at most. They are accepted
 * in slices, between which the event loop does its other work. Owned by the event loop.
 */
final class ListenerClose {
    /** Time after which the rest of the queue is given up: the drain has to end in time. */
    static final double MAX_ACCEPT_MILLIS = 100;

    private final Channel listener;
    private final LongSupplier acceptedCount;
    private final Clock clock;
    private final long maxAcceptedCount;
    private final double untilMillis;

    /**
     * Begins to close a listener.
     *
     * @param queueLength upper bound of the connections that wait to be accepted
     * @param acceptedCount number of connections that were accepted so far
     */
    ListenerClose(Channel listener, int queueLength, LongSupplier acceptedCount, Clock clock) {
        this.listener = listener;
        this.acceptedCount = acceptedCount;
        this.clock = clock;
        maxAcceptedCount = acceptedCount.getAsLong() + queueLength;
        untilMillis = clock.nowMillis() + MAX_ACCEPT_MILLIS;
        // Connections are accepted here only, so that each slice is followed by other work.
        listener.config().setAutoRead(false);
    }

    /** Accepts one slice; then closes the listener, or schedules the next slice. */
    @SuppressWarnings("FutureReturnValueIgnored") // Nothing waits for the close or a slice.
    void acceptSlice() {
        long acceptedBefore = acceptedCount.getAsLong();
        if (listener.unsafe() instanceof AbstractNioChannel.NioUnsafe nioListener) {
            // Accepts a few connections at most, see ChannelConfig.getMaxMessagesPerRead.
            nioListener.read();
        }
        boolean queueEmpty = acceptedCount.getAsLong() == acceptedBefore;
        if (queueEmpty
                || acceptedCount.getAsLong() >= maxAcceptedCount
                || clock.nowMillis() >= untilMillis) {
            listener.close();
        } else {
            // A task that is executed at once would run before the next input and output.
            listener.eventLoop().schedule(this::acceptSlice, 0, TimeUnit.MILLISECONDS);
        }
    }
}
