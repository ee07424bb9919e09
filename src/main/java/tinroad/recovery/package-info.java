/**
 * How a gateway recovers after a start or a fault around it: recovery phases, backoff and jitter,
 * and the state restored from earlier processes. It is called by the core, the edges and the node.
 * This package uses no file, socket, thread or clock; times are passed in, in ms.
 */
package tinroad.recovery;
