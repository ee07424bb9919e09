/**
 * The schedule of a run: every request and every fault with its time, drawn from a script and a
 * seed before the run. Used by {@code tinroad.lab} and its fakes; depends on no process, wire
 * protocol or clock.
 */
package tinroad.lab.schedule;
