package tinroad.fastcgi;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads the input that is waiting in the socket of one connection, before the connection closes. A
 * request may have arrived while this process stalled and still be unread; clients count it as lost
 * if the connection closes more than 50 ms after they wrote it. Owned by the event loop.
 */
final class SocketInput {
    /** Upper bound of the reads at one time, as a client may write without a pause. */
    private static final int MAX_READS = 8;

    private final Channel channel;

    /** Number of reads of the socket that found input. */
    private int readsWithInput;

    SocketInput(Channel channel) {
        this.channel = channel;
    }

    /** Called for each read of the socket that found input. */
    void inputFound() {
        readsWithInput++;
    }

    /**
     * Reads several times at most.
     *
     * @param once whether it is read once only
     * @return whether nothing is left in the socket
     */
    boolean read(boolean once) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nioChannel)) {
            return true;
        }
        for (int reads = 0; reads < (once ? 1 : MAX_READS); reads++) {
            int readsBefore = readsWithInput;
            nioChannel.read();
            if (readsWithInput == readsBefore || !channel.isActive()) {
                return true;
            }
        }
        return false;
    }
}
