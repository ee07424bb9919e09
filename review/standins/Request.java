import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One try of a request, and what became of it. */
final class Request {
    final String id;
    final String className;
    final String tenant;
    final byte[] body;
    final Map<String, String> moreFields = new LinkedHashMap<>();

    /** How long the caller of this class waits in all, from the time of the arrival. */
    final long deadlineMillis;

    volatile long arrivedAtMillis;
    volatile long writtenAtMillis;

    /** Status of the answer; 0 until there is one. 503 stands for OVERLOADED, too. */
    volatile int status;

    volatile long answeredAtMillis;
    volatile byte[] result = new byte[0];
    volatile int answers;

    /** When the connection ended without an answer; 0 if it did not. */
    volatile long connectionEndedAtMillis;

    /** Whether it crossed the end of a connection, and went again on a new one. */
    volatile boolean sentAgain;

    Request(String id, String className, String tenant, String body, long deadlineMillis) {
        this.id = id;
        this.className = className;
        this.tenant = tenant;
        this.body = body.getBytes(StandardCharsets.US_ASCII);
        this.deadlineMillis = deadlineMillis;
    }

    /** Whether the answer is one that the protocol page calls served, refused or failed. */
    boolean answeredInTime(long slackMillis) {
        return status != 0 && answeredAtMillis <= arrivedAtMillis + deadlineMillis + slackMillis;
    }

    String outcome() {
        return status == 0
                ? connectionEndedAtMillis > 0 ? "connection ended without an answer" : "no answer"
                : status == 200
                        ? "served"
                        : status == 503 || status == 429 ? "refused" : "failed (" + status + ")";
    }
}
