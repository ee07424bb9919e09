/**
 * The lab: a fleet of real gateway processes with stand-ins round them and faults between, played
 * by a script. Called by the command {@code lab} and by tests, never by {@code serve}.
 */
package tinroad.lab;
