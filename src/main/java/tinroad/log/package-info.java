/**
 * The log output: selection of the back end, its format and levels, and key-value pairs of lines.
 * Called by {@code cli}, and by any code that adds key-value pairs to a line. Must not depend on
 * what the lines are about.
 */
package tinroad.log;
