package tinroad.catalog;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A hash of a set of entries: the sum of the hashes of the entries modulo 2^128 (AdHash, Bellare
 * and Micciancio 1997). It does not depend on the order of the entries, and putting or removing an
 * entry adds or subtracts its hash, whatever the size of the table. It distinguishes contents that
 * differ by mistake or because of another publisher. It does not protect against somebody who
 * constructs two contents with the same hash.
 */
record ContentHash(long high, long low) {
    static final ContentHash EMPTY = new ContentHash(0, 0);
    private static final int SEED = 0;

    /**
     * Returns the hash of one entry: of the code of its type, its name, and the numbers of its
     * settings.
     */
    static ContentHash of(char typeCode, String name, double... values) {
        byte[] bytes = new byte[Character.BYTES * (1 + name.length()) + Long.BYTES * values.length];
        int offset = putBigEndian(bytes, 0, typeCode, Character.BYTES);
        // No length of the name is needed, as the number of values is fixed by the type.
        for (int i = 0; i < name.length(); i++) {
            offset = putBigEndian(bytes, offset, name.charAt(i), Character.BYTES);
        }
        for (double value : values) {
            offset = putBigEndian(bytes, offset, Double.doubleToLongBits(value), Long.BYTES);
        }
        long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED);
        return new ContentHash(hash[0], hash[1]);
    }

    private static int putBigEndian(byte[] bytes, int offset, long value, int size) {
        for (int i = 0; i < size; i++) {
            bytes[offset + i] = (byte) (value >>> (Byte.SIZE * (size - 1 - i)));
        }
        return offset + size;
    }

    ContentHash plus(ContentHash other) {
        long sum = low + other.low;
        return new ContentHash(
                high + other.high + (Long.compareUnsigned(sum, low) < 0 ? 1 : 0), sum);
    }

    ContentHash minus(ContentHash other) {
        return new ContentHash(
                high - other.high - (Long.compareUnsigned(low, other.low) < 0 ? 1 : 0),
                low - other.low);
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
