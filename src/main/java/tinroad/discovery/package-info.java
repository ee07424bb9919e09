/**
 * Reports to the service registry (the platform's "roster"), which lists gateways for clients:
 * {@code LoadReporter} sends that this gateway is running and whether it admits requests. Called by
 * {@code node} and the lab on the event loop. Does not depend on the reasons for that state, nor on
 * the other protocol edges.
 */
package tinroad.discovery;
