/**
 * The admin endpoint: an HTTP/1.1 server for operators and their tools, with a class for each
 * resource. The entry point is {@code AdminServer}, used by {@code node}. Reads the gateway and the
 * membership, and requests evacuation and rejoin. Makes no decisions of its own, and must not
 * depend on the other protocol edges.
 */
package tinroad.admin;
