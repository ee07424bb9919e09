/**
 * The capacity page: calculates figures at the target's size from result files and writes them into
 * the tables of the page. Used by the command {@code lab capacity} and by tests. It runs and
 * measures nothing itself.
 */
package tinroad.lab.capacity;
