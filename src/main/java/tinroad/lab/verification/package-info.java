/**
 * The history of a run with the outcome of every request, the check of the rules and the metrics.
 * The history is recorded by {@code tinroad.lab} and its fakes; this package depends on no process,
 * wire protocol or clock.
 */
package tinroad.lab.verification;
