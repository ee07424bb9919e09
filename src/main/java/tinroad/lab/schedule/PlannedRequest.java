package tinroad.lab.schedule;

/**
 * A request of the schedule. All tries of it carry the same values.
 *
 * @param number counted from 0, in the order of arrival
 * @param at ms from the beginning of the load
 * @param kind number of the class
 * @param member number of the member that sends it
 * @param subject number of the subject that it is about
 * @param work ms of a core at speed 1 that a run of it takes
 * @param proxy number of the client proxy at which it arrives
 * @param rank random number from 0 to 1 that the gateway receives with it
 * @param memoryKb memory reserved for it
 * @param bodyBytes length of its body
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
     * so this text uses the names of the first build.
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
