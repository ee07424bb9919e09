package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A final answer. Errors are values: {@code progress} tells how far the attempt came.
 *
 * @param result the engine's own bytes, empty unless served; only valid during the call that hands
 *     it over
 * @param stayAway how long the caller should stay away, in milliseconds; 0: no advice
 * @param last whether no other gateway should be tried
 */
public record Response(
        Kind kind, Progress progress, ByteBuf result, double retryAfterMillis, boolean doNotRetry) {
    /** What the answer says. */
    public enum Kind {
        /** The engine's result. */
        SERVED,
        /** This try never ran. */
        REJECTED,
        /** No promise. */
        FAILED,
        /** Not a request that a gateway takes; it never ran. */
        INVALID
    }

    static Response served(ByteBuf result) {
        return new Response(Kind.SERVED, Progress.RAN, result, 0, false);
    }

    static Response rejected(double retryAfterMillis, boolean doNotRetry) {
        return new Response(
                Kind.REJECTED,
                Progress.NOT_SENT,
                Unpooled.EMPTY_BUFFER,
                retryAfterMillis,
                doNotRetry);
    }

    static Response failed(Progress progress) {
        return new Response(Kind.FAILED, progress, Unpooled.EMPTY_BUFFER, 0, false);
    }

    /** For a request that was malformed. */
    public static Response invalid() {
        return new Response(Kind.INVALID, Progress.NOT_SENT, Unpooled.EMPTY_BUFFER, 0, false);
    }
}
