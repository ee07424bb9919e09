package tinroad.core;

import io.netty.buffer.ByteBuf;

/**
 * A request as a front read it, free of its protocol.
 *
 * @param id the try's id, 16 hex digits, new with every try
 * @param arrivedAt when it came to the machine, in Unix milliseconds
 * @param kind the name of its class
 * @param owner the name of its tenant
 * @param key what a read is about, or null
 * @param token names all tries of one request of a keyed class; null where none was given
 * @param waitMs how long its caller waits for this try, in ms from {@code arrivedAt}; NaN where it
 *     doesn't tell
 * @param resent whether it is marked as a further try, or a second copy
 * @param body its bytes, only valid during the call that hands it over
 */
public record IncomingRequest(
        String id,
        double arrivedAtMillis,
        String className,
        String tenantName,
        int caller,
        double memoryKb,
        double priority,
        String resultKey,
        String idempotencyKey,
        double clientTimeoutMillis,
        boolean retry,
        ByteBuf body) {

    /** A first try, so far as it tells, whose caller tells neither a token nor its wait. */
    public IncomingRequest(
            String id,
            double arrivedAtMillis,
            String className,
            String tenantName,
            int caller,
            double memoryKb,
            double priority,
            String resultKey,
            ByteBuf body) {
        this(
                id,
                arrivedAtMillis,
                className,
                tenantName,
                caller,
                memoryKb,
                priority,
                resultKey,
                null,
                Double.NaN,
                false,
                body);
    }
}
