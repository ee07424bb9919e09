package tinroad.state;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes files so that they are on the disk when a method returns; blocks until then. */
public final class DurableFiles {
    private DurableFiles() {}

    /** Writes a file, replacing what it held. */
    static void overwrite(Path file, byte[] bytes) throws IOException {
        write(
                file,
                bytes,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING);
    }

    /**
     * Writes a new file.
     *
     * @throws java.nio.file.FileAlreadyExistsException where there is one of this name
     */
    public static void create(Path file, byte[] bytes) throws IOException {
        write(file, bytes, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    }

    private static void write(Path file, byte[] bytes, OpenOption... options) throws IOException {
        try (FileChannel out = FileChannel.open(file, options)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
            out.force(true);
        }
    }

    /** Makes the names in a folder durable: what was renamed, linked or deleted there before. */
    public static void forceFolder(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
