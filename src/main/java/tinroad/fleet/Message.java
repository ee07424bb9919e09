package tinroad.fleet;

import java.util.List;

/** The messages of the membership protocol. Each carries piggybacked updates. */
public sealed interface Message {
    /** The piggybacked updates. */
    List<MemberUpdate> updates();

    /** A direct probe; {@code number} is the sender's sequence number. */
    record Ping(long number, List<MemberUpdate> updates) implements Message {}

    /** The answer to the ping, or to the ping-req, of this number. */
    record Ack(long number, List<MemberUpdate> updates) implements Message {}

    /** SWIM's ping-req: asks the receiver to ping the member at {@code address}. */
    record PingRequest(long number, String address, List<MemberUpdate> updates)
            implements Message {}

    /** Lifeguard's nack: the ping sent on behalf of the ping-req of this number has no ack yet. */
    record Nack(long number, List<MemberUpdate> updates) implements Message {}

    /**
     * A part of the sender's member table, or new updates; {@code replyWanted}: the receiver is to
     * send a part of its own.
     */
    record Sync(boolean replyWanted, List<MemberUpdate> updates) implements Message {}
}
