/**
 * What a script and a seed come to: every request and every fault with its time, drawn ahead. Read
 * by {@code tinroad.lab} and its stand-ins; knows no process, wire or clock.
 */
package tinroad.lab.schedule;
