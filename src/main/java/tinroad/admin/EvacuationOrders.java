package tinroad.admin;

/**
 * Carries out the operators' orders to take the gateway out of the service registry, and to put it
 * back. Called on the event loop.
 */
@FunctionalInterface
public interface EvacuationOrders {
    /**
     * Carries out an order for all processes of the gateway.
     *
     * @param evacuate whether the gateway is to be taken out, or put back
     * @param done called on the event loop once this process has carried the order out
     */
    void carryOut(boolean evacuate, Runnable done);
}
