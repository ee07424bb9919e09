/**
 * What carries the fleet's messages: datagrams of bounded size with a MAC. Decides nothing. Not
 * wired into a gateway yet.
 */
package tinroad.gossip;
