/**
 * Lab scripts: HOCON files validated against a schema and read into typed values. Used by {@code
 * tinroad.lab}; depends on no process, wire protocol or random number.
 */
package tinroad.lab.script;
