/**
 * The simulator's edge: reads its messages, one JSON object a line, drives an {@code
 * overload.Controller} for each server, and writes the controller's actions. The one place that
 * knows the simulator's field names. Called by {@code cli}; does not know the gateway.
 */
package tinroad.simulator;
