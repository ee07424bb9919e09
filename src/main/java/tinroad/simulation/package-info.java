/**
 * Simulation of fleets of whole gateways on virtual time, with the scripts, metrics and rules of
 * the lab but without processes or links.
 */
package tinroad.simulation;
