package tinroad.state;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes files and forces them to the disk. Its methods block until the data is durable. */
public final class DurableFiles {
    private DurableFiles() {}

    /** Writes a file, replacing its previous content. */
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
     * @throws java.nio.file.FileAlreadyExistsException if a file of this name exists
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

    /**
     * Forces the entries of a folder to the disk, so that earlier renames, links and deletions in
     * it are durable.
     */
    public static void forceFolder(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
