package tinroad.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Message;

/** Checks that messages are decoded as they were encoded, and that nothing else is accepted. */
class MessageCodecTest {
    private static final byte[] KEY = "sixteen bytes...".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NEXT_KEY = "another sixteen.".getBytes(StandardCharsets.US_ASCII);
    private static final List<MemberStatus> STATUSES = List.of(MemberStatus.values());
    private final MessageCodec codec = new MessageCodec(List.of(KEY));

    private static List<MemberUpdate> updates(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i ->
                                new MemberUpdate(
                                        "gateway-" + i,
                                        "127.0.0.1:" + (9000 + i),
                                        "z" + i % 3,
                                        new MemberIncarnation(i, i % 2, 3),
                                        STATUSES.get(i % 4),
                                        "gateway-7"))
                .toList();
    }

    static Stream<Message> messages() {
        return Stream.of(
                new Message.Ping(1, updates(3)),
                new Message.Ack(Long.MAX_VALUE, List.of()),
                new Message.Nack(3, updates(1)),
                new Message.PingRequest(4, "127.0.0.1:9", updates(2)),
                new Message.Sync(true, updates(12)),
                new Message.Sync(false, updates(4)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void readsEachTypeOfMessageAsItWasWritten(Message message) {
        assertEquals(message, codec.read(codec.write(message)));
    }

    /** Members of other releases read these bytes, so they must never change. */
    @Test
    void writesTheBytesOfTheWireFormat() {
        List<MemberUpdate> updates =
                IntStream.range(0, STATUSES.size())
                        .mapToObj(
                                i ->
                                        new MemberUpdate(
                                                "m" + i,
                                                "127.0.0.1:" + (9000 + i),
                                                "z",
                                                new MemberIncarnation(i + 1, i, 2 * i),
                                                List.of(
                                                                MemberStatus.ALIVE,
                                                                MemberStatus.SUSPECT,
                                                                MemberStatus.DEAD,
                                                                MemberStatus.LEFT)
                                                        .get(i),
                                                "m" + i))
                        .toList();
        String header = "019f6361736b0a6b3132372e302e302e313a39";
        String body =
                "9f9f626d306e3132372e302e302e313a39303030617a01000000626d30ff"
                        + "9f626d316e3132372e302e302e313a39303031617a02010201626d31ff"
                        + "9f626d326e3132372e302e302e313a39303032617a03020402626d32ff"
                        + "9f626d336e3132372e302e302e313a39303033617a04030603626d33ffffff";
        String tag = "d716d0f69d25f5b6316d3aee7cd8f949";
        assertEquals(
                header + body + tag,
                HexFormat.of()
                        .formatHex(
                                codec.write(new Message.PingRequest(10, "127.0.0.1:9", updates))));
    }

    @Test
    void leavesOutUpdatesBeyondTheLongestDatagram() {
        byte[] datagram = codec.write(new Message.Sync(false, updates(200)));
        assertTrue(
                datagram.length <= MessageCodec.MAX_DATAGRAM_BYTES
                        && datagram.length > MessageCodec.MAX_DATAGRAM_BYTES / 2,
                "" + datagram.length);
        List<MemberUpdate> read = codec.read(datagram).updates();
        assertEquals(updates(200).subList(0, read.size()), read);
    }

    @Test
    void rejectsDatagramsWithAFlippedBitOrAnotherLength() {
        byte[] datagram = codec.write(new Message.Ping(77, updates(2)));
        for (int bit = 0; bit < 8 * datagram.length; bit++) {
            byte[] flipped = datagram.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(codec.read(flipped));
        }
        for (int length = 0; length < datagram.length; length++) {
            assertNull(codec.read(Arrays.copyOf(datagram, length)));
        }
        assertNull(codec.read(Arrays.copyOf(datagram, 60_000)));
    }

    @Test
    void acceptsEachValidKeyAndNoOther() {
        MessageCodec both = new MessageCodec(List.of(NEXT_KEY, KEY));
        MessageCodec next = new MessageCodec(List.of(NEXT_KEY));
        Message message = new Message.Ping(5, List.of());
        assertNotNull(both.read(codec.write(message)));
        assertNotNull(next.read(both.write(message)));
        assertNull(codec.read(both.write(message)));
        assertNull(next.read(codec.write(message)));
    }

    @Property(tries = 500, seed = "61")
    void rejectsGarbage(@ForAll @Size(max = 1300) byte[] garbage) {
        assertNull(codec.read(garbage));
    }
}
