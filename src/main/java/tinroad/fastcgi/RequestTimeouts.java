package tinroad.fastcgi;

import io.netty.util.collection.IntObjectMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Tells which requests of one connection do not become complete in time. What is done about them is
 * {@link ClientConnection}'s decision. Owned by the event loop.
 */
final class RequestTimeouts {
    private final IntObjectMap<PendingRequest> openRequests;
    private final ConnectionUse usage;
    private final RecordDecoder decoder;
    private final PartialRecordTimer partialRecordTimer;

    /** Number of requests that were completed when one was overdue last. */
    private int completedAtLastTime;

    RequestTimeouts(
            IntObjectMap<PendingRequest> openRequests,
            ConnectionUse usage,
            RecordDecoder decoder,
            PartialRecordTimer partialRecordTimer) {
        this.openRequests = openRequests;
        this.usage = usage;
        this.decoder = decoder;
        this.partialRecordTimer = partialRecordTimer;
    }

    /** Whether the first request, or one that has begun, is incomplete since before this time. */
    boolean isOverdueSince(double beforeMillis) {
        if (usage.silentSince(beforeMillis) || isPartialRecordOverdueSince(beforeMillis)) {
            return true;
        }
        for (PendingRequest request : openRequests.values()) {
            if (!request.handedOver && request.startedAtMillis < beforeMillis) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the partial record has been waiting since before this time. One that may begin a
     * request can wait while another request is in flight: the connection stays open anyway, and
     * the rest of the record tells what has to be answered.
     */
    private boolean isPartialRecordOverdueSince(double beforeMillis) {
        return decoder.midRecord()
                && partialRecordTimer.beganBefore(beforeMillis)
                && !(decoder.partialRecordMayBeginRequest() && hasRequestInFlight());
    }

    /** Whether a complete request waits for its response. */
    boolean hasRequestInFlight() {
        return openRequests.values().stream().anyMatch(request -> request.handedOver);
    }

    /** Whether a request was completed since the last call of this method. */
    boolean requestCompletedSinceLastTime() {
        boolean completed = usage.completedRequests() != completedAtLastTime;
        completedAtLastTime = usage.completedRequests();
        return completed;
    }

    /**
     * Returns the incomplete requests that began before this time, and the one whose partial record
     * did.
     */
    List<PendingRequest> incompleteSince(double beforeMillis) {
        int slowId = isPartialRecordOverdueSince(beforeMillis) ? decoder.partialRecordId() : 0;
        List<PendingRequest> incomplete = new ArrayList<>();
        for (PendingRequest request : openRequests.values()) {
            if (!request.handedOver
                    && (request.startedAtMillis < beforeMillis || request.id == slowId)) {
                incomplete.add(request);
            }
        }
        return incomplete;
    }

    /** Skips the partial record if it has been waiting since before this time. */
    void skipPartialRecordSince(double beforeMillis) {
        if (isPartialRecordOverdueSince(beforeMillis)) {
            decoder.skipPartialRecord();
            if (!decoder.midRecord()) {
                partialRecordTimer.reset();
            }
        }
    }
}
