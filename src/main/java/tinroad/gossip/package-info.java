/**
 * The transport for the membership messages of the fleet: datagrams of bounded size with an
 * authentication tag. It makes no decisions. The node starts it; the lab starts it for processes
 * that serve no requests. Depends only on {@code tinroad.fleet}.
 */
package tinroad.gossip;
