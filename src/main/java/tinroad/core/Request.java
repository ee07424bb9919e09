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
final class Request {
    final String id;

    /** The class that it came under, whatever became of it since. */
    final Catalog.ClassEntry route;

    /** The place of its tenant. */
    final int tenant;

    final double due;

    /** When it came to the machine, as it says itself. */
    final double arrivedAt;

    final String key;

    /** Names all tries of one request of a keyed class; null in any other class. */
    final String token;

    final ResponseSink requester;

    /**
     * The bytes to run with, null once it is answered: until then the order may have to be
     * repeated.
     */
    ByteBuf body;

    Progress progress = Progress.NOT_SENT;
    boolean answered;

    /** The link that its RUN was written to is gone: the engine may never have read it. */
    boolean linkLost;

    /** Its own entry in the table of keys, or null. */
    IdempotencyTable.Kept kept;

    /** The kept request that this one repeats, or null, and since when it waits for its result. */
    IdempotencyTable.Kept repeats;

    double reusedAt;
    private byte[] digest;

    Request(
            IncomingRequest in,
            Catalog.ClassEntry route,
            int tenant,
            double due,
            boolean keyed,
            ResponseSink requester) {
        id = in.id();
        this.route = route;
        this.tenant = tenant;
        this.due = due;
        arrivedAt = in.arrivedAtMillis();
        key = route.spec().idempotency() == Idempotency.IDEMPOTENT ? in.resultKey() : null;
        token = keyed ? in.idempotencyKey() : null;
        this.requester = requester;
        body = in.body();
    }

    String kind() {
        return route.name();
    }

    RequestClass spec() {
        return route.spec();
    }

    /**
     * Whether it was sent to run, or another try of it was: then no answer may say that nothing
     * ran.
     */
    boolean mayHaveRun() {
        return progress != Progress.NOT_SENT || (repeats != null && repeats.ran());
    }

    /** Tells whether two tries carry the same body; asked for while the body is there. */
    byte[] digest() {
        if (digest == null) {
            try {
                digest = MessageDigest.getInstance("SHA-256").digest(ByteBufUtil.getBytes(body));
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }
        return digest;
    }

    /** Copies the body where it has to outlive the buffer that it was read into. */
    void ownBody() {
        if (body != null) {
            body = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
        }
    }

    void dropBody() {
        body = null;
    }
}
