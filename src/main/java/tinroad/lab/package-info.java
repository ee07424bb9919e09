/**
 * The lab: runs a script against a fleet of real gateway processes, with fakes for everything
 * around them, and injects faults. Called by the command {@code lab} and by tests, never by {@code
 * serve}.
 */
package tinroad.lab;
