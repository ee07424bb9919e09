package tinroad.handover;

import java.io.IOException;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.RunClaims;

/** The claims on runs that a process of a gateway uses from its start to its end. */
public interface HandoverClaims extends RunClaims, AutoCloseable {
    /**
     * Opens the claims of gateway {@code name}; blocks meanwhile. A process that can't share them
     * runs keyed requests as {@link UnsharedRunClaims} describes.
     *
     * @param directory directory that the processes of the gateway share; null or empty if there is
     *     none
     */
    static HandoverClaims open(String directory, String name, ProcessStart start) {
        Logger log = LoggerFactory.getLogger("server");
        if (directory != null && !directory.isEmpty()) {
            try {
                return SharedRunClaims.open(Path.of(directory), name, start);
            } catch (IOException e) {
                log.warn("can't share the runs of keyed requests: {}", e.toString());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (start.besideAnotherListener()) {
            log.warn(
                    "keyed requests are not run here while another process serves, and for their"
                            + " window after it: its runs are not known");
        }
        return new UnsharedRunClaims(start);
    }

    /** Records that every process of this gateway that was older than this one has ended. */
    void recordPredecessorsEnded(double nowMillis);

    @Override
    void close();
}
