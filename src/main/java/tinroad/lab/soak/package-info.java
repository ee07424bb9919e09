/**
 * The soak: fleets drawn from a seed in which every gateway ends, judged by how it ends. Used by
 * the command {@code lab soak} and by tests. May not know of the gateways' classes.
 */
package tinroad.lab.soak;
