package tinroad.gossip;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs datagrams with the first {@link #TAG_BYTES} bytes of HMAC-SHA-256 (RFC 2104), and verifies
 * them. Several keys may be valid at the same time, so that a key can be replaced without members
 * rejecting each other meanwhile. The first key signs. Used by one thread.
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
            // Can't happen: every Java platform has this algorithm, and it accepts any key of at
            // least one byte.
            throw new IllegalStateException(e);
        }
    }

    /** Returns the body followed by its authentication tag. */
    byte[] sign(byte[] body) {
        byte[] datagram = Arrays.copyOf(body, body.length + TAG_BYTES);
        System.arraycopy(macs.get(0).doFinal(body), 0, datagram, body.length, TAG_BYTES);
        return datagram;
    }

    /** Whether the tag that follows the body is valid for one of the keys. */
    boolean verify(byte[] datagram, int bodyLength) {
        byte[] tag = Arrays.copyOfRange(datagram, bodyLength, datagram.length);
        boolean valid = false;
        for (Mac mac : macs) {
            mac.update(datagram, 0, bodyLength);
            // Tries all keys, even after one fits, and compares each in constant time, so that the
            // duration reveals nothing about the keys.
            valid |= MessageDigest.isEqual(tag, Arrays.copyOf(mac.doFinal(), TAG_BYTES));
        }
        return valid;
    }
}
