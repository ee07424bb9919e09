/**
 * Reports to the service registry (the platform's "roster") that lists gateways for clients: {@code
 * LoadReporter} sends that this gateway is there and whether it admits requests. Called by {@code
 * node} and the lab, on the event loop. Knows nothing of why, nor of any other edge.
 */
package tinroad.discovery;
