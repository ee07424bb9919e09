/**
 * The requests of one gateway from arrival to answer, independent of protocols. {@link
 * tinroad.core.Gateway} combines a request table, the driver of the overload controller, recovery
 * of the engine link, health, graceful shutdown and the catalog in force. It is called by the
 * frontends, the engine link, the admin endpoint, the node and the simulation, all on the event
 * loop. This package uses no socket, wire format, file or thread: time, timers and the engine are
 * interfaces that the caller implements.
 */
package tinroad.core;
