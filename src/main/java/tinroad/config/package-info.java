/**
 * The platform's configuration and the settings in it, as typed values or as validation errors, a
 * line each; the only parser and the only validation of classes and tenants. Called at the start,
 * at reloads, and by {@code catalog} for changes; may not know what the values are used for.
 */
package tinroad.config;
