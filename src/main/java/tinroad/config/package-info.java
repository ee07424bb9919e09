/**
 * The platform's configuration and the settings in it, as typed values or as faults, a line each;
 * the one parser and the one check of classes and tenants. Called at the start, at re-reads, and by
 * {@code catalog} for changes; knows nothing of what they are used for.
 */
package tinroad.config;
