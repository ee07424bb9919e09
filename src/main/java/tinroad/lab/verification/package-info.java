/**
 * What became of every request, the rules that are judged by it, and the figures. Filled by {@code
 * tinroad.lab} and its stand-ins; knows no process, wire or clock.
 */
package tinroad.lab.verification;
