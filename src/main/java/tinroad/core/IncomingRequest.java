package tinroad.core;

import io.netty.buffer.ByteBuf;

/**
 * A request as a frontend read it, free of its protocol.
 *
 * @param id of this attempt, 16 hex digits, new with every attempt
 * @param arrivedAtMillis when it came to the machine, in Unix ms, as the request states
 * @param className the name of its class
 * @param tenantName the name of its tenant
 * @param caller the number of the client proxy
 * @param memoryKb the memory that is reserved for it while it is in flight, in KB
 * @param priority from 0 to under 1; under overload the lowest are rejected first
 * @param resultKey what a read is about, or null
 * @param idempotencyKey the same in all attempts of one request of a keyed class; null where none
 *     was given
 * @param clientTimeoutMillis how long the client waits for this attempt, from {@code
 *     arrivedAtMillis}; NaN where it doesn't say
 * @param retry whether it is marked as a retry or a hedged request
 * @param body its bytes, valid only during the call that passes them
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

    /** A request that is not marked as a retry, with neither idempotency key nor timeout. */
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
