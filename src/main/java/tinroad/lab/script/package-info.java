/**
 * Lab scripts: HOCON checked against a schema, as typed values. Read by {@code tinroad.lab}; knows
 * no process, wire or random number.
 */
package tinroad.lab.script;
