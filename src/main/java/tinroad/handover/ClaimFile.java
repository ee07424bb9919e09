package tinroad.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * The memory-mapped file that the processes of one gateway share. Every process that uses it holds
 * a shared lock on it, its membership; the operating system releases the lock however the process
 * ends. A process that finds no member initializes the file, since what an earlier incarnation left
 * binds nobody, unless the last member was still alive when this process started.
 *
 * <p>The file is written in full when it is initialized, so that later writes need no further space
 * on the disk. {@link #open} blocks; all other methods return at once. Times are in Unix ms.
 */
final class ClaimFile implements AutoCloseable {
    static final int HEADER_BYTES = 64;

    /** {@link #unrecordedBeforeMillis} while a process that records nothing still runs. */
    static final long UNRECORDED_UNTIL_NOW = Long.MAX_VALUE;

    /** Identifies the layout of the file; files of another layout can't be shared. */
    private static final long LAYOUT = 0x74696e726f616401L;

    private static final int LAYOUT_OFFSET = 0;
    private static final int HEARTBEAT_OFFSET = 8;
    private static final int UNRECORDED_BEFORE_OFFSET = 16;

    /** Position of the lock of the members, beyond the content of the file. */
    private static final long MEMBERSHIP_LOCK = 1L << 40;

    /** Position of the first of the locks that {@link #tryLock} numbers from 0. */
    private static final long FIRST_LOCK = MEMBERSHIP_LOCK + 1;

    /**
     * Length of the pieces in which the file is initialized: for each write the virtual machine
     * keeps a copy in direct memory.
     */
    private static final int ZEROS_BYTES = 16 * 1024;

    private static final int OPEN_ATTEMPTS = 200;
    private static final long OPEN_RETRY_MILLIS = 10;

    /** How often a lock is tried that another process holds for a moment. */
    private static final int LOCK_ATTEMPTS = 50;

    private final FileChannel channel;
    private final ByteBuffer bytes;

    private ClaimFile(FileChannel channel, ByteBuffer bytes) {
        this.channel = channel;
        this.bytes = bytes;
    }

    /**
     * Opens the file and becomes one of its members.
     *
     * @param contentBytes size of the content after the header
     * @param start what is known at the start of this process
     * @throws IOException if the file can't be used, for example because its members use another
     *     layout
     */
    static ClaimFile open(Path file, int contentBytes, ProcessStart start)
            throws IOException, InterruptedException {
        int size = HEADER_BYTES + contentBytes;
        FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        try {
            becomeMember(channel, size, start);
            ByteBuffer bytes =
                    channel.map(FileChannel.MapMode.READ_WRITE, 0, size)
                            .order(ByteOrder.nativeOrder());
            return new ClaimFile(channel, bytes);
        } catch (IOException | InterruptedException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private static void becomeMember(FileChannel channel, int size, ProcessStart start)
            throws IOException, InterruptedException {
        for (int i = 0; i < OPEN_ATTEMPTS; i++) {
            initializeIfUnused(channel, size, start);
            // Between the two locks another process may have initialized the file once more, which
            // loses nothing: no process that is not a member has written to it.
            if (lockMembership(channel, true)) {
                if (channel.size() != size || readLong(channel, LAYOUT_OFFSET) != LAYOUT) {
                    throw new IOException("its members use another layout");
                }
                return;
            }
            TimeUnit.MILLISECONDS.sleep(OPEN_RETRY_MILLIS);
        }
        throw new IOException("another process keeps it locked");
    }

    private static void initializeIfUnused(FileChannel channel, int size, ProcessStart start)
            throws IOException {
        try (FileLock lock = channel.tryLock(MEMBERSHIP_LOCK, 1, false)) {
            if (lock == null) {
                return;
            }
            boolean wasUsedSinceStart =
                    channel.size() == size
                            && readLong(channel, LAYOUT_OFFSET) == LAYOUT
                            && readLong(channel, HEARTBEAT_OFFSET) >= start.atMillis();
            if (!wasUsedSinceStart) {
                writeZeros(channel, size);
                channel.truncate(size);
                writeLong(channel, LAYOUT_OFFSET, LAYOUT);
            }
            if (start.besideAnotherListener()) {
                writeLong(channel, UNRECORDED_BEFORE_OFFSET, UNRECORDED_UNTIL_NOW);
            }
        } catch (OverlappingFileLockException e) {
            // Another object of this virtual machine is a member, as happens in tests.
        }
    }

    /** Returns whether this process holds the lock of the members now. */
    private static boolean lockMembership(FileChannel channel, boolean shared) throws IOException {
        try {
            return channel.tryLock(MEMBERSHIP_LOCK, 1, shared) != null;
        } catch (OverlappingFileLockException e) {
            // Another object of this virtual machine is a member, and the lock is this process's.
            return true;
        }
    }

    private static long readLong(FileChannel channel, int offset) throws IOException {
        ByteBuffer value = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
        channel.read(value, offset);
        return value.getLong(0);
    }

    private static void writeLong(FileChannel channel, int offset, long value) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
        writeFully(channel, bytes.putLong(0, value), offset);
    }

    private static void writeZeros(FileChannel channel, int size) throws IOException {
        for (int position = 0; position < size; position += ZEROS_BYTES) {
            int length = Math.min(ZEROS_BYTES, size - position);
            writeFully(channel, ByteBuffer.allocate(length), position);
        }
    }

    private static void writeFully(FileChannel channel, ByteBuffer bytes, long position)
            throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes, position + bytes.position());
        }
    }

    /** Returns the content of the file from an offset after the header on. */
    ByteBuffer content(int offset, int length) {
        return bytes.slice(HEADER_BYTES + offset, length).order(ByteOrder.nativeOrder());
    }

    /**
     * Tries to hold a lock that excludes the other processes, until it is closed; null if another
     * process keeps it for longer than a moment.
     */
    FileLock tryLock(int number) {
        for (int i = 0; i < LOCK_ATTEMPTS; i++) {
            try {
                FileLock lock = channel.tryLock(FIRST_LOCK + number, 1, false);
                if (lock != null) {
                    return lock;
                }
            } catch (OverlappingFileLockException e) {
                // Another object of this virtual machine holds it.
            } catch (IOException e) {
                return null;
            }
            Thread.onSpinWait();
        }
        return null;
    }

    void heartbeat(double nowMillis) {
        bytes.putLong(HEARTBEAT_OFFSET, (long) nowMillis);
    }

    /**
     * Returns the time before which a process may have submitted runs without recording them here:
     * 0 if there was no such process, {@link #UNRECORDED_UNTIL_NOW} if it may still run.
     */
    long unrecordedBeforeMillis() {
        return bytes.getLong(UNRECORDED_BEFORE_OFFSET);
    }

    /** Records that every process which records nothing has ended by now. */
    void recordPredecessorsEnded(double nowMillis) {
        if (unrecordedBeforeMillis() == UNRECORDED_UNTIL_NOW) {
            bytes.putLong(UNRECORDED_BEFORE_OFFSET, (long) Math.ceil(nowMillis));
        }
    }

    /** Ends the membership. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}
