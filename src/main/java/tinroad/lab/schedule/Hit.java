package tinroad.lab.schedule;

import tinroad.lab.script.Script.Fault;

/**
 * A fault at one gateway, or at the roster.
 *
 * @param at ms from the beginning of the load
 * @param until its end; for what ends a process, the earliest moment at which it may be back
 * @param gateway number, or -1 for the roster
 * @param away ms from the end of a process to its next start
 * @param heard whether the signal that goes with it is sent
 * @param fault number of the script's fault
 */
public record Hit(
        double at,
        double until,
        int gateway,
        double away,
        boolean heard,
        int fault,
        Fault trouble) {}
