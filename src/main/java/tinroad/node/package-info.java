/**
 * Assembles one gateway from its parts: start, JIT warm-up, configuration reload, handover of the
 * listening address between two processes, stored state, and graceful shutdown. The entry point is
 * {@code GatewayNode}, used by the commands {@code serve} and {@code check}. This package connects
 * the protocol edges to {@code core} and leaves decisions to {@code recovery} and the overload
 * controller where they can make them. No lower package may depend on it.
 */
package tinroad.node;
