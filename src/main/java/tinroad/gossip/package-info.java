/**
 * The transport of the fleet's membership messages: datagrams of bounded size with an
 * authentication tag. Started by the node, and by the lab for processes without requests; decides
 * nothing. Knows {@code tinroad.fleet} only.
 */
package tinroad.gossip;
