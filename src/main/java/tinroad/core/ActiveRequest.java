package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import tinroad.catalog.Catalog;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/**
 * One request in flight: from its arrival until it is answered and no run of it can end any more.
 * Owned by the event loop; times in Unix ms.
 */
final class ActiveRequest {
    final String id;

    /** Its class as it was in force at the arrival, whatever was changed since. */
    final Catalog.ClassEntry classEntry;

    /** The slot of its tenant. */
    final int tenantSlot;

    final double deadlineAtMillis;

    /** When it came to the machine, as it states itself. */
    final double arrivedAtMillis;

    final String resultKey;

    /** The same in all attempts of one request of a keyed class; null in any other class. */
    final String idempotencyKey;

    final ResponseSink responseSink;

    /**
     * The body, null once the request is answered: until then the run may have to be sent again.
     */
    ByteBuf body;

    Progress progress = Progress.NOT_SENT;
    boolean answered;

    /** The link that its run was sent on is lost: the engine may never have read it. */
    boolean sentOnLostLink;

    /** Its own entry in the idempotency table, or null. */
    IdempotencyTable.Entry ownEntry;

    /** The entry that this request is a duplicate of, or null. */
    IdempotencyTable.Entry duplicateOf;

    /** Since when it waits for the result of its original. */
    double replayRequestedAtMillis;

    private byte[] bodyDigest;

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
     * Whether it was sent to run, or another attempt of it was: then no answer may say that nothing
     * ran.
     */
    boolean mayHaveRun() {
        return progress != Progress.NOT_SENT || (duplicateOf != null && duplicateOf.runSubmitted());
    }

    /** Tells whether two attempts carry the same body; first called while the body is there. */
    byte[] bodyDigest() {
        if (bodyDigest == null) {
            try {
                bodyDigest =
                        MessageDigest.getInstance("SHA-256").digest(ByteBufUtil.getBytes(body));
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }
        return bodyDigest;
    }

    /** Copies the body, if still needed, as it has to outlive the buffer that it was read into. */
    void copyBody() {
        if (body != null) {
            body = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
        }
    }

    void dropBody() {
        body = null;
    }
}
