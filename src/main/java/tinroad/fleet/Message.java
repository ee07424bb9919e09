package tinroad.fleet;

import java.util.List;

/** What members say to each other. Each message carries claims beside its purpose. */
public sealed interface Message {
    /** Claims that ride along. */
    List<MemberUpdate> updates();

    /** Are you there? {@code number} is the asker's. */
    record Ping(long number, List<MemberUpdate> updates) implements Message {}

    /** I am; for the ping of this number, or on behalf of the one who was asked for. */
    record Ack(long number, List<MemberUpdate> updates) implements Message {}

    /** Ask the member at {@code address} for me. */
    record PingRequest(long number, String address, List<MemberUpdate> updates)
            implements Message {}

    /** I asked for you, and have no answer either: at least I am there. */
    record Nack(long number, List<MemberUpdate> updates) implements Message {}

    /** A part of all that I hold; {@code wants} yours. */
    record Sync(boolean replyWanted, List<MemberUpdate> updates) implements Message {}
}
