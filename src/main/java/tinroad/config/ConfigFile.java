package tinroad.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/**
 * The configuration file. Detects by size, modification time and inode whether the file was written
 * since it was last read, so that a gateway whose engine stays unreachable does not read a large
 * file again every few seconds. Used by one thread at a time.
 */
public final class ConfigFile implements ConfigSource {
    /**
     * A file modified more recently than this before a read counts as changed at the next check: it
     * may be written again without a change of its modification time, whose resolution is limited.
     */
    private static final long MIN_TRUSTED_AGE_MILLIS = 2000;

    private final Path path;

    /**
     * Identity of the file when it was last read; null if it can't tell whether the file changed.
     */
    private Object lastReadStamp;

    /** Creates a source that reads the file at this path. */
    public ConfigFile(Path path) {
        this.path = path;
    }

    @Override
    public synchronized GatewayConfig read(SiteVisitor visitor) throws ConfigException {
        lastReadStamp = stamp(System.currentTimeMillis() - MIN_TRUSTED_AGE_MILLIS);
        return GatewayConfig.read(path, visitor);
    }

    @Override
    public synchronized boolean changed() {
        return lastReadStamp == null || !lastReadStamp.equals(stamp(Long.MAX_VALUE));
    }

    private Object stamp(long writtenBeforeMillis) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return attributes.lastModifiedTime().toMillis() < writtenBeforeMillis
                    ? List.of(
                            attributes.lastModifiedTime(),
                            attributes.size(),
                            String.valueOf(attributes.fileKey()))
                    : null;
        } catch (IOException e) {
            return null;
        }
    }
}
