/**
 * How log lines are written: which back end there is, its format and levels, and key-values of a
 * line. Called by {@code cli}, and by whoever writes a line that names something. May not know what
 * the lines are about.
 */
package tinroad.log;
