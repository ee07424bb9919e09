package tinroad.lab.schedule;

import tinroad.lab.script.Script.Fault;

/**
 * A fault at one gateway, or at the roster.
 *
 * @param at ms from the beginning of the load
 * @param until its end; for what ends a process, the earliest moment at which it may be back
 * @param gateway number, or -1 for the roster
 * @param awayMillis ms from the end of a process to its next start
 * @param notified whether the signal that goes with it is sent
 * @param faultNumber number of the script's fault
 */
public record FaultEvent(
        double at,
        double until,
        int gateway,
        double awayMillis,
        boolean notified,
        int faultNumber,
        Fault fault) {
    /**
     * The text that enters the digest of a schedule. Digests compare results of different builds,
     * so this text keeps the names that it had first.
     */
    @Override
    public String toString() {
        return "Hit["
                + "at="
                + at
                + ", until="
                + until
                + ", gateway="
                + gateway
                + ", away="
                + awayMillis
                + ", heard="
                + notified
                + ", fault="
                + faultNumber
                + ", trouble="
                + fault
                + "]";
    }
}
