package tinroad.handover;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import tinroad.core.Digest;

/**
 * Results of runs in memory that several processes share, the oldest overwritten first. A process
 * reserves its bytes with one atomic addition, so none ever waits for another. A result that was
 * overwritten, by a process that reserved its bytes long before, is told by its digest.
 */
final class ResultRing {
    /** The largest result that is kept is this fraction (1/16) of the ring. */
    private static final int MAX_RESULT_DIVISOR = 16;

    private static final int HEADER_BYTES = Long.BYTES;
    private static final int RESERVED_OFFSET = 0;
    private static final VarHandle LONGS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer memory;
    private final int capacity;

    /** Where a result is; {@code position} counts all bytes that were ever reserved. */
    record Location(long position, int length, long digest) {
        static final Location NONE = new Location(0, -1, 0);
    }

    /** Uses this memory, which is zero at first and aligned to 8 bytes. */
    ResultRing(ByteBuffer memory) {
        this.memory = memory;
        this.capacity = memory.capacity() - HEADER_BYTES;
    }

    /** Writes a result; {@link Location#NONE} if it is null or too large. */
    Location write(byte[] result) {
        if (result == null || result.length > capacity / MAX_RESULT_DIVISOR) {
            return Location.NONE;
        }
        long position = (long) LONGS.getAndAdd(memory, RESERVED_OFFSET, (long) result.length);
        int start = (int) (position % capacity);
        int untilEnd = Math.min(result.length, capacity - start);
        memory.put(HEADER_BYTES + start, result, 0, untilEnd);
        memory.put(HEADER_BYTES, result, untilEnd, result.length - untilEnd);
        return new Location(position, result.length, Digest.of(result).high());
    }

    /** Returns a copy of the result at this location; null if it was overwritten. */
    byte[] read(Location location) {
        if (location.length() < 0 || location.length() > capacity || location.position() < 0) {
            return null;
        }
        byte[] result = new byte[location.length()];
        int start = (int) (location.position() % capacity);
        int untilEnd = Math.min(result.length, capacity - start);
        memory.get(HEADER_BYTES + start, result, 0, untilEnd);
        memory.get(HEADER_BYTES, result, untilEnd, result.length - untilEnd);
        return Digest.of(result).high() == location.digest() ? result : null;
    }
}
