/**
 * What a gateway is told of routes (classes of requests) and tenants, as versions that follow each
 * other. {@code CatalogBuilder} alone makes versions, {@code FullSnapshotDiff} compares a settings
 * file with one. Called by {@code node}, {@code core}, {@code changelog} and commands; decides
 * without clock, file, socket or thread.
 */
package tinroad.catalog;
