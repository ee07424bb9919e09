package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import tinroad.catalog.Catalog;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/** One request in hand: from its reading until it is answered and no run of it can end any more. */
final class ActiveRequest {
    final String id;

    /** The class that it came under, whatever became of it since. */
    final Catalog.ClassEntry classEntry;

    /** The place of its tenant. */
    final int tenantSlot;

    final double deadlineAtMillis;

    /** When it came to the machine, as it says itself. */
    final double arrivedAtMillis;

    final String resultKey;

    /** Names all tries of one request of a keyed class; null in any other class. */
    final String idempotencyKey;

    final ResponseSink responseSink;

    /**
     * The bytes to run with, null once it is answered: until then the order may have to be
     * repeated.
     */
    ByteBuf body;

    Progress progress = Progress.NOT_SENT;
    boolean answered;

    /** The link that its RUN was written to is gone: the engine may never have read it. */
    boolean sentOnLostLink;

    /** Its own entry in the table of keys, or null. */
    IdempotencyTable.Entry ownEntry;

    /** The kept request that this one repeats, or null, and since when it waits for its result. */
    IdempotencyTable.Entry duplicateOf;

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
     * Whether it was sent to run, or another try of it was: then no answer may say that nothing
     * ran.
     */
    boolean mayHaveRun() {
        return progress != Progress.NOT_SENT || (duplicateOf != null && duplicateOf.runSubmitted());
    }

    /** Tells whether two tries carry the same body; asked for while the body is there. */
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

    /** Copies the body where it has to outlive the buffer that it was read into. */
    void copyBody() {
        if (body != null) {
            body = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
        }
    }

    void dropBody() {
        body = null;
    }
}
