/**
 * The requests of one gateway from arrival to answer, free of protocols: {@link
 * tinroad.core.Gateway} composes a request table, the driver of the overload controller, recovery
 * of the engine link, health, graceful shutdown and the catalog in force. Called by the frontends,
 * the engine link, the admin endpoint, the node and the simulation, all on the event loop. Knows no
 * socket, wire format, file or thread: time, timers and the engine are interfaces that the caller
 * implements.
 */
package tinroad.core;
