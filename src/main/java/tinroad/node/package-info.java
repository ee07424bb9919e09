/**
 * One gateway put together, and its life: start, take-over, new addresses, leave. Called by the
 * commands; decides nothing that {@code recovery} or the module can.
 */
package tinroad.node;
