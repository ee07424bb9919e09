/**
 * The capacity page: figures at the target's size, worked out from result files, and written into
 * the page's tables. Called by the command {@code lab capacity} and by tests. Runs nothing and
 * measures nothing itself.
 */
package tinroad.lab.capacity;
