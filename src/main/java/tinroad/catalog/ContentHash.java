package tinroad.catalog;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A hash of a set of entries: the sum of the entries' own hashes modulo 2^128 (AdHash, Bellare and
 * Micciancio 1997). So it knows no order, and putting or removing an entry adds or subtracts its
 * hash, whatever the size of the table. It distinguishes contents that differ by mistake or by
 * another publisher; it is no protection from someone who constructs two contents with one hash.
 */
record ContentHash(long high, long low) {
    static final ContentHash EMPTY = new ContentHash(0, 0);
    private static final int SEED = 0;

    /** The hash of one entry: the code of its type, its name, and the numbers of its settings. */
    static ContentHash of(char typeCode, String name, double... values) {
        byte[] bytes = new byte[Character.BYTES * (1 + name.length()) + Long.BYTES * values.length];
        int at = put(bytes, 0, typeCode, Character.BYTES);
        // The number of values is fixed by the type, so the name needs no length.
        for (int i = 0; i < name.length(); i++) {
            at = put(bytes, at, name.charAt(i), Character.BYTES);
        }
        for (double value : values) {
            at = put(bytes, at, Double.doubleToLongBits(value), Long.BYTES);
        }
        long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED);
        return new ContentHash(hash[0], hash[1]);
    }

    private static int put(byte[] bytes, int at, long value, int size) {
        for (int i = 0; i < size; i++) {
            bytes[at + i] = (byte) (value >>> (Byte.SIZE * (size - 1 - i)));
        }
        return at + size;
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
