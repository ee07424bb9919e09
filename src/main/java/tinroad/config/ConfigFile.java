package tinroad.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/**
 * The configuration's file. Knows from its size, time and inode whether it was written since it was
 * read last: guards a gateway whose engine stays away against reading a large file again every few
 * seconds. Used by one thread at a time.
 */
public final class ConfigFile implements ConfigSource {
    /**
     * A file that was written less than this, in ms, before it was read may be written again within
     * the same tick of its time.
     */
    private static final long SETTLE_MILLIS = 2000;

    private final Path path;

    /** What the file was when it was read last, or null: not to be trusted. */
    private Object lastReadStamp;

    /** The file at this path. */
    public ConfigFile(Path path) {
        this.path = path;
    }

    @Override
    public synchronized GatewayConfig read(SiteVisitor visitor) throws ConfigException {
        lastReadStamp = stamp(System.currentTimeMillis() - SETTLE_MILLIS);
        return GatewayConfig.read(path, visitor);
    }

    @Override
    public synchronized boolean changed() {
        return lastReadStamp == null || !lastReadStamp.equals(stamp(Long.MAX_VALUE));
    }

    private Object stamp(long writtenBefore) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return attributes.lastModifiedTime().toMillis() < writtenBefore
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
