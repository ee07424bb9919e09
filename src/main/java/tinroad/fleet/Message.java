package tinroad.fleet;

import java.util.List;

/** The messages of the membership protocol. All of them carry piggybacked updates. */
public sealed interface Message {
    /** The piggybacked updates. */
    List<MemberUpdate> updates();

    /** A ping; {@code sequenceNumber} is the sender's. */
    record Ping(long sequenceNumber, List<MemberUpdate> updates) implements Message {}

    /** The ack to the ping, or to the ping-req, with this sequence number. */
    record Ack(long sequenceNumber, List<MemberUpdate> updates) implements Message {}

    /** SWIM's ping-req: requests the receiver to ping the member at {@code address}. */
    record PingRequest(long sequenceNumber, String address, List<MemberUpdate> updates)
            implements Message {}

    /**
     * Lifeguard's nack: the ping sent on behalf of the ping-req with this sequence number has no
     * ack yet.
     */
    record Nack(long sequenceNumber, List<MemberUpdate> updates) implements Message {}

    /**
     * A part of the sender's member table, or new updates. If {@code replyWanted} is set, the
     * receiver sends a part of its own member table back.
     */
    record Sync(boolean replyWanted, List<MemberUpdate> updates) implements Message {}
}
