/**
 * What stands between two processes of a run and can fail: streams and datagrams, link by link.
 * Used by {@code tinroad.lab} only; knows no protocol.
 */
package tinroad.lab.relay;
