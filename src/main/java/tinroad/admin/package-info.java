/**
 * The admin endpoint: HTTP/1.1 for operators and their tools, a class for each resource. {@code
 * AdminServer} is the entry, called by {@code node}. Reads the gateway and the membership, and
 * requests evacuation and rejoin; decides nothing, and may know no other edge.
 */
package tinroad.admin;
