package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The final answer to a request.
 *
 * @param kind what the answer states
 * @param progress how far the attempt came
 * @param result the engine's result, byte for byte; empty unless served, and valid only during the
 *     call that passes it
 * @param retryAfterMillis how long, in ms, the client should send this gateway nothing; 0 for no
 *     such advice
 * @param doNotRetry whether the client should try no other gateway
 */
public record Response(
        Kind kind, Progress progress, ByteBuf result, double retryAfterMillis, boolean doNotRetry) {
    /** What an answer states. */
    public enum Kind {
        /** The answer carries the engine's result. */
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

    /** Returns the answer that a request failed; {@code progress} tells how far it came. */
    public static Response failed(Progress progress) {
        return new Response(Kind.FAILED, progress, Unpooled.EMPTY_BUFFER, 0, false);
    }

    /** Returns the answer to an invalid request. */
    public static Response invalid() {
        return new Response(Kind.INVALID, Progress.NOT_SENT, Unpooled.EMPTY_BUFFER, 0, false);
    }
}
