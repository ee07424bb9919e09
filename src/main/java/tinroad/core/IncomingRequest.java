package tinroad.core;

import io.netty.buffer.ByteBuf;

/**
 * A request as a frontend read it, independent of the protocol.
 *
 * @param id the id of this attempt: 16 hex digits, new with every attempt
 * @param arrivedAtMillis when the request arrived at the machine, in Unix ms, as the request states
 * @param className the name of its class
 * @param tenantName the name of its tenant
 * @param caller the number of the client proxy
 * @param memoryKb the memory that is reserved for the request while it is in flight, in KB
 * @param priority from 0 to under 1; under overload the requests with the lowest are rejected first
 * @param resultKey identifies what a read is about, or null
 * @param idempotencyKey identical in all attempts of one request of a keyed class; null if none was
 *     given
 * @param clientTimeoutMillis how long the client waits for this attempt, from {@code
 *     arrivedAtMillis}; NaN if the request does not state it
 * @param retry whether it is marked as a retry or a hedged request
 * @param body the bytes of the request, valid only during the call that passes them
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

    /**
     * Creates a request that is not marked as a retry and has neither idempotency key nor timeout.
     */
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
