/**
 * Fleets of whole gateways on virtual time: the same scripts, figures and rules as the lab's,
 * without processes or links.
 */
package tinroad.simulation;
