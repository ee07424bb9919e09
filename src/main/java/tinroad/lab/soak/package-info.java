/**
 * The soak test: runs small fleets generated from seeds, in which every gateway ends and restarts,
 * and checks that each shutdown and restart is orderly. Used by the command {@code lab soak} and by
 * tests. Must not depend on the gateways' classes.
 */
package tinroad.lab.soak;
