/**
 * How a gateway recovers after a start or a fault around it: recovery phases, backoff and jitter,
 * and the state restored from earlier processes. Called by the core, the edges and the node; knows
 * no file, socket, thread or clock: times come in, in ms.
 */
package tinroad.recovery;
