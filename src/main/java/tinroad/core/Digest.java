package tinroad.core;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first 128 bits of a SHA-256 digest. */
public record Digest(long high, long low) {
    /** Returns the digest of these bytes. */
    public static Digest of(byte[] bytes) {
        return of(sha256(), bytes);
    }

    /** Returns the digest of a text and these bytes. */
    static Digest of(String text, byte[] bytes) {
        MessageDigest digest = sha256();
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            digest.update((byte) (character >> Byte.SIZE));
            digest.update((byte) character);
        }
        // Two bytes that are no character of a text end it.
        digest.update(new byte[2]);
        return of(digest, bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static Digest of(MessageDigest digest, byte[] bytes) {
        byte[] result = digest.digest(bytes);
        return new Digest(longAt(result, 0), longAt(result, Long.BYTES));
    }

    private static long longAt(byte[] bytes, int offset) {
        long value = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            value = value << Byte.SIZE | (bytes[offset + i] & 0xff);
        }
        return value;
    }
}
