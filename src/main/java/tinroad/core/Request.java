package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** One request in hand: from its reading until it is answered and no run of it can end any more. */
final class Request {
    final String id;
    final int cls;
    final String kind;
    final double due;
    final String key;
    final Requester requester;
    /** The bytes to run with, null once it is answered: until then the order may have to be repeated. */
    ByteBuf body;
    Progress progress = Progress.NOT_SENT;
    boolean answered;
    /** The link that its RUN was written to is gone: the engine may never have read it. */
    boolean linkLost;
    /** Its own entry in the table of keys, or null. */
    Repeats.Kept kept;
    /** The kept request that this one repeats, or null, and since when it waits for its result. */
    Repeats.Kept repeats;
    double reusedAt;

    Request(String id, int cls, String kind, double due, String key, Requester requester, ByteBuf body) {
        this.id = id;
        this.cls = cls;
        this.kind = kind;
        this.due = due;
        this.key = key;
        this.requester = requester;
        this.body = body;
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
