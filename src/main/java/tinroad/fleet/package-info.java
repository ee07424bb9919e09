/**
 * The membership of the fleet by SWIM with the extensions of Lifeguard ({@link
 * tinroad.fleet.Membership}), and the load that members advertise ({@link
 * tinroad.fleet.MembershipView}, which the gateway does not use yet). The transport in {@code
 * tinroad.gossip} and the simulation call this package; the admin endpoint reads it. Messages are
 * plain values. The package uses no clock, socket, file or thread.
 */
package tinroad.fleet;
