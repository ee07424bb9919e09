package tinroad.fastcgi;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the input of connections that send much and complete no valid request, so that many of
 * them together leave the event loop time for the others. Such a connection is not read until its
 * turn comes; each sweep lets a few of them go on, the one that has waited for longest first. Owned
 * by the event loop.
 */
final class InputThrottle {
    /** Number of throttled connections that are read in one sweep. */
    static final int TURNS_PER_SWEEP = 16;

    /** In the order in which they wait; no more than there are connections. */
    private final Set<ClientConnection> waiting = new LinkedHashSet<>();

    /** Makes a connection wait for its turn. */
    void add(ClientConnection connection) {
        waiting.add(connection);
    }

    /** Forgets a connection that is closed. */
    void remove(ClientConnection connection) {
        waiting.remove(connection);
    }

    /** Lets the connections go on whose turn has come. */
    void sweep() {
        for (int turn = 0; turn < TURNS_PER_SWEEP && !waiting.isEmpty(); turn++) {
            Iterator<ClientConnection> first = waiting.iterator();
            ClientConnection connection = first.next();
            first.remove();
            connection.endThrottling();
        }
    }

    /**
     * The cost of the input of one connection since it completed a valid request, in bytes that
     * take as long to read in one long record.
     */
    static final class Meter {
        /**
         * Cost above which a connection is throttled. The longest valid request in one record each
         * for parameters and body costs a fifth of it, and 32 of usual length that are written
         * interleaved two thirds.
         */
        static final int FREE_COST = 24 * 1024;

        private static final int RECORD_COST = 64;
        private static final int BYTES_PER_COST = 4;

        /** An invalid request is answered, so that it costs more than its records. */
        private static final int INVALID_REQUEST_COST = 1024;

        private int cost;

        void recordRead() {
            cost += RECORD_COST;
        }

        void bytesRead(int bytes) {
            cost += bytes / BYTES_PER_COST;
        }

        void invalidRequestCompleted() {
            cost += INVALID_REQUEST_COST;
        }

        void validRequestCompleted() {
            cost = 0;
        }

        boolean isExceeded() {
            return cost > FREE_COST;
        }
    }
}
