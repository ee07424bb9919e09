/**
 * The catalog: the classes of requests and the tenants of a site, as versions that follow each
 * other. {@code CatalogBuilder} alone makes versions, {@code FullSnapshotDiff} compares a settings
 * file with one. A class or tenant keeps its slot, the index by which the module knows it, until it
 * is removed and no request refers to it. Called by {@code node}, {@code core}, {@code changelog}
 * and commands; decides without clock, file, socket or thread.
 */
package tinroad.catalog;
