/**
 * The adapter for the simulator: reads its messages, one JSON object per line, calls an {@code
 * overload.Controller} for each server, and writes the controller's actions. Only this package
 * knows the field names of the simulator's messages. Called by {@code cli}; does not depend on the
 * gateway.
 */
package tinroad.simulator;
