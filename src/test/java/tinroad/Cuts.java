package tinroad;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Random;

/**
 * Helpers for tests of channels. Bytes are fed as the network may deliver them: in pieces of random
 * size, which a seed determines.
 */
public final class Cuts {
    private Cuts() {}

    /**
     * Writes all bytes to the channel's inbound side in random pieces, most of them small. Stops if
     * the channel is closed.
     */
    public static void feed(EmbeddedChannel channel, byte[] bytes, long seed) {
        Random random = new Random(seed);
        for (int at = 0; at < bytes.length && channel.isOpen(); ) {
            int size =
                    Math.min(bytes.length - at, 1 + random.nextInt(random.nextBoolean() ? 4 : 600));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, size));
            at += size;
        }
    }

    /** Returns all bytes that the channel has sent and that were not yet read. */
    public static byte[] sent(EmbeddedChannel channel) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            byte[] bytes = new byte[out.readableBytes()];
            out.readBytes(bytes).release();
            all.writeBytes(bytes);
        }
        return all.toByteArray();
    }

    /** Concatenates the parts. */
    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(all::writeBytes);
        return all.toByteArray();
    }
}
