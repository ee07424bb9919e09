/**
 * Reads the platform's configuration and the settings in it, into typed values or into validation
 * errors of one line each. Classes and tenants are parsed and validated only here. Called at the
 * start, at reloads, and by {@code catalog} for changes. Must not depend on how the values are
 * used.
 */
package tinroad.config;
