package tinroad.lab.schedule;

import tinroad.lab.script.Script.Fault;

/**
 * One occurrence of a fault, at one gateway or at the registry.
 *
 * @param at ms from the beginning of the load
 * @param until when it ends; for faults that end a process, the earliest time of its restart
 * @param gateway number, or -1 for the registry
 * @param awayMillis ms from the end of a process to its next start
 * @param notified whether the gateway is sent the signal that belongs to the fault
 * @param faultNumber number of the fault in the script
 * @param fault the fault in the script
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
     * so this text uses the names of the first build.
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
