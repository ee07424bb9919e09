package tinroad.gossip;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs datagrams with the first {@link #TAG_BYTES} bytes of HMAC-SHA-256 (RFC 2104). Several keys
 * may be valid, so that a key can be replaced without a moment in which members reject each other;
 * the first one signs. Owned by one thread.
 */
final class DatagramAuthenticator {
    /** Length of the authentication tag at the end of a datagram. */
    static final int TAG_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final List<Mac> macs = new ArrayList<>();

    DatagramAuthenticator(List<byte[]> keys) {
        try {
            for (byte[] key : keys) {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(key, ALGORITHM));
                macs.add(mac);
            }
        } catch (GeneralSecurityException e) {
            // Can't happen: every Java platform has it, and any key of one byte and more will do.
            throw new IllegalStateException(e);
        }
    }

    /** The body with its tag behind it. */
    byte[] sign(byte[] body) {
        byte[] datagram = Arrays.copyOf(body, body.length + TAG_BYTES);
        System.arraycopy(macs.get(0).doFinal(body), 0, datagram, body.length, TAG_BYTES);
        return datagram;
    }

    /** Whether the tag behind the body fits one of the keys. */
    boolean verify(byte[] datagram, int bodyLength) {
        byte[] tag = Arrays.copyOfRange(datagram, bodyLength, datagram.length);
        boolean valid = false;
        for (Mac mac : macs) {
            mac.update(datagram, 0, bodyLength);
            // All keys are tried whatever the first says, each in constant time.
            valid |= MessageDigest.isEqual(tag, Arrays.copyOf(mac.doFinal(), TAG_BYTES));
        }
        return valid;
    }
}
