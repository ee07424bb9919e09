/**
 * What a gateway is told of routes (classes of requests) and tenants, as versions that follow each other. Called by {@code core}
 * and {@code node}; decides without clock, file, socket or thread.
 */
package tinroad.catalog;
