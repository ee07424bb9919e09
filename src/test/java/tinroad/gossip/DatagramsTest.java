package tinroad.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Message;

/** What is written is read, and nothing else is. */
class DatagramsTest {
    private static final byte[] KEY = "sixteen bytes...".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NEXT = "another sixteen.".getBytes(StandardCharsets.US_ASCII);
    private final MessageCodec datagrams = new MessageCodec(List.of(KEY));

    private static List<MemberUpdate> claims(int n) {
        return IntStream.range(0, n)
                .mapToObj(
                        i ->
                                new MemberUpdate(
                                        "gateway-" + i,
                                        "127.0.0.1:" + (9000 + i),
                                        "z" + i % 3,
                                        new MemberIncarnation(i, i % 2, 3),
                                        MemberStatus.values()[i % 4],
                                        "gateway-7"))
                .toList();
    }

    @Test
    void everyKindOfMessageIsReadAsItWasWritten() {
        for (Message m :
                List.of(
                        new Message.Ping(1, claims(3)),
                        new Message.Ack(Long.MAX_VALUE, List.of()),
                        new Message.Nack(3, claims(1)),
                        new Message.PingRequest(4, "127.0.0.1:9", claims(2)),
                        new Message.Sync(true, claims(12)),
                        new Message.Sync(false, claims(4)))) {
            assertEquals(m, datagrams.read(datagrams.write(m)));
        }
    }

    @Test
    void noDatagramIsLongerThanAllowedAndWhatFindsNoRoomIsLeftOut() {
        byte[] all = datagrams.write(new Message.Sync(false, claims(200)));
        assertTrue(
                all.length <= MessageCodec.MAX_DATAGRAM_BYTES
                        && all.length > MessageCodec.MAX_DATAGRAM_BYTES / 2,
                "" + all.length);
        List<MemberUpdate> read = datagrams.read(all).updates();
        assertEquals(claims(200).subList(0, read.size()), read);
    }

    @Test
    void noBitCanFlipNorByteBeCutUnnoticed() {
        byte[] all = datagrams.write(new Message.Ping(77, claims(2)));
        for (int bit = 0; bit < 8 * all.length; bit++) {
            byte[] flipped = all.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(datagrams.read(flipped));
        }
        for (int length = 0; length < all.length; length++) {
            assertNull(datagrams.read(Arrays.copyOf(all, length)));
        }
        assertNull(datagrams.read(Arrays.copyOf(all, 60_000)));
    }

    @Test
    void whileAKeyIsExchangedBothAreHeardAndWithoutItNeither() {
        MessageCodec both = new MessageCodec(List.of(NEXT, KEY));
        MessageCodec next = new MessageCodec(List.of(NEXT));
        Message m = new Message.Ping(5, List.of());
        assertNotNull(both.read(datagrams.write(m)));
        assertNotNull(next.read(both.write(m)));
        assertNull(datagrams.read(both.write(m)));
        assertNull(next.read(datagrams.write(m)));
    }

    @Property(tries = 500, seed = "61")
    void garbageIsNoMessage(@ForAll @Size(max = 1300) byte[] garbage) {
        assertNull(datagrams.read(garbage));
    }
}
