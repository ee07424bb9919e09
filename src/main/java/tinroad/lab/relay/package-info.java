/**
 * Relays between the processes of a lab run, which inject faults into streams and datagrams, link
 * by link. Used by {@code tinroad.lab} only; independent of the protocols that pass through.
 */
package tinroad.lab.relay;
