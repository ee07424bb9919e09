/**
 * The catalog: the classes of requests and the tenants of a site, as a sequence of versions. Only
 * {@code CatalogBuilder} creates versions; {@code FullSnapshotDiff} compares a settings file with
 * one. A class or tenant has the same slot, the index by which the overload controller identifies
 * it, until it is removed and no request refers to it. Called by {@code node}, {@code core}, {@code
 * changelog} and commands. The package uses no clock, file, socket or thread.
 */
package tinroad.catalog;
