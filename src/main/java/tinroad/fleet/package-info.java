/**
 * The membership of the fleet by SWIM with Lifeguard's extensions ({@link
 * tinroad.fleet.Membership}), and what members advertise of their load ({@link
 * tinroad.fleet.MembershipView}; not in use by the gateway yet). Called by the transport in {@code
 * tinroad.gossip} and by the simulation; read by the admin endpoint. Messages are values in and
 * out; knows no clock, socket, file or thread.
 */
package tinroad.fleet;
