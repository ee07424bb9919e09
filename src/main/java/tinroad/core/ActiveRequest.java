package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import tinroad.catalog.Catalog;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/**
 * A request in flight, from its arrival until it is answered and no run of it can end any more.
 * Instances must be used on the event loop only. Times are in Unix ms.
 */
final class ActiveRequest {
    final String id;

    /**
     * The request's class as it was in force at the arrival; later changes of the class don't
     * apply.
     */
    final Catalog.ClassEntry classEntry;

    /** The slot of the request's tenant. */
    final int tenantSlot;

    final double deadlineAtMillis;

    /** When the request arrived at the machine, as the request itself states. */
    final double arrivedAtMillis;

    final String resultKey;

    /** Identical in all attempts of one request of a keyed class; null in any other class. */
    final String idempotencyKey;

    final ResponseSink responseSink;

    /**
     * The body; null once the request is answered. Until then the run may have to be sent again.
     */
    ByteBuf body;

    Progress progress = Progress.NOT_SENT;
    boolean answered;

    /**
     * Whether the link that the run was sent on is lost, so that the engine may never have read it.
     */
    boolean sentOnLostLink;

    /** The entry of the idempotency table that this request is the original of, or null. */
    IdempotencyTable.Entry ownEntry;

    /** The entry that this request is a duplicate of, or null. */
    IdempotencyTable.Entry duplicateOf;

    /** Whether another process of the gateway may have run this request and nobody can tell. */
    boolean unknownWhetherRun;

    /** Since when this duplicate has been waiting for the result of its original. */
    double replayRequestedAtMillis;

    private Digest fingerprint;

    ActiveRequest(
            IncomingRequest incoming,
            Catalog.ClassEntry classEntry,
            int tenantSlot,
            double deadlineAtMillis,
            boolean keyed,
            ResponseSink responseSink) {
        id = incoming.id();
        this.classEntry = classEntry;
        this.tenantSlot = tenantSlot;
        this.deadlineAtMillis = deadlineAtMillis;
        arrivedAtMillis = incoming.arrivedAtMillis();
        resultKey =
                classEntry.spec().idempotency() == Idempotency.IDEMPOTENT
                        ? incoming.resultKey()
                        : null;
        idempotencyKey = keyed ? incoming.idempotencyKey() : null;
        this.responseSink = responseSink;
        body = incoming.body();
    }

    String className() {
        return classEntry.name();
    }

    RequestClass requestClass() {
        return classEntry.spec();
    }

    /**
     * Returns whether this request, or another attempt of it, was sent to run. If so, no answer may
     * state that nothing ran.
     */
    boolean mayHaveRun() {
        return progress != Progress.NOT_SENT
                || unknownWhetherRun
                || (duplicateOf != null && duplicateOf.runSubmitted());
    }

    /**
     * Returns a digest of class and body, by which two attempts are compared. The first call must
     * come while the body is present.
     */
    Digest fingerprint() {
        if (fingerprint == null) {
            fingerprint = Digest.of(className(), ByteBufUtil.getBytes(body));
        }
        return fingerprint;
    }

    /** Returns this request as an attempt of a keyed one; the body must be present. */
    RunClaims.Attempt attempt() {
        return new RunClaims.Attempt(
                idempotencyKey,
                fingerprint(),
                arrivedAtMillis,
                requestClass().keyRetentionMillis());
    }

    /**
     * Copies the body if it is still needed, since it has to outlive the buffer that it was read
     * into.
     */
    void copyBody() {
        if (body != null) {
            body = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
        }
    }

    void dropBody() {
        body = null;
    }
}
