package tinroad.changelog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

/** The attributes that show whether a name still stands for the same, unchanged file or folder. */
record FileStamp(FileTime lastModified, long size, String fileKey) {
    /** Returns the stamp of a file or folder; empty if it does not exist. */
    static Optional<FileStamp> of(Path file) throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return Optional.of(
                    new FileStamp(
                            attributes.lastModifiedTime(),
                            attributes.size(),
                            String.valueOf(attributes.fileKey())));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
    }
}
