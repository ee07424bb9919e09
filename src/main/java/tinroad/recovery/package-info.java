/**
 * Decisions on how a gateway comes back from what failed round it. Called by the edges and by the
 * start; knows no file, socket, thread or clock: times come in, in ms.
 */
package tinroad.recovery;
