package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The final answer to a request.
 *
 * @param progress how far the attempt came
 * @param result the engine's own bytes, empty unless served; valid only during the call that passes
 *     it
 * @param retryAfterMillis how long the client should send this gateway nothing; 0: no advice
 * @param doNotRetry whether no other gateway should be tried
 */
public record Response(
        Kind kind, Progress progress, ByteBuf result, double retryAfterMillis, boolean doNotRetry) {
    /** What an answer states. */
    public enum Kind {
        /** It carries the engine's result. */
        SERVED,
        /** The request was rejected: this attempt never ran. */
        REJECTED,
        /** An error; the request may or may not have run. */
        FAILED,
        /** The request is malformed, unknown or already known; this attempt never ran. */
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

    /** The answer to an invalid request. */
    public static Response invalid() {
        return new Response(Kind.INVALID, Progress.NOT_SENT, Unpooled.EMPTY_BUFFER, 0, false);
    }
}
