/**
 * One gateway put together: start, JIT warm-up, reload, hand-over of the listening address between
 * two processes, stored state, graceful shutdown. {@code GatewayNode} is the entry, called by the
 * commands {@code serve} and {@code check}. Wires the edges to {@code core} and decides nothing
 * that {@code recovery} or the overload controller can; nothing below may know it.
 */
package tinroad.node;
