package tinroad.lab.schedule;

/**
 * A request, as its first caller has it; all tries of it carry the same.
 *
 * @param number counted from 0, in the order of their times
 * @param at ms from the beginning of the load
 * @param kind number of the class
 * @param work ms of a core at speed 1 that a run of it takes
 * @param proxy that it comes to
 * @param memoryKb booked for it
 */
public record PlannedRequest(
        int number,
        double at,
        int kind,
        int member,
        int subject,
        double work,
        int proxy,
        double rank,
        double memoryKb,
        int bodyBytes) {
    /**
     * The text that enters the digest of a schedule. Digests compare results of different builds,
     * so this text keeps the names that it had first.
     */
    @Override
    public String toString() {
        return "Asked["
                + "number="
                + number
                + ", at="
                + at
                + ", kind="
                + kind
                + ", member="
                + member
                + ", subject="
                + subject
                + ", work="
                + work
                + ", proxy="
                + proxy
                + ", rank="
                + rank
                + ", memoryKb="
                + memoryKb
                + ", bodyBytes="
                + bodyBytes
                + "]";
    }
}
