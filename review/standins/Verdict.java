import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The rule "no request lost", for requests that client proxies have written whole. */
final class Verdict {
    /** Slack of the settings, and of the rules on sockets. */
    private static final long SLACK_MILLIS = 100 + 50;

    /** Share of requests without a final answer from which the rule is broken. */
    private static final double ALLOWED_SHARE = 0.003;

    private Verdict() {}

    /** Writes what became of the requests, and returns whether the rule held. */
    static boolean held(List<Request> sent, Record record) {
        Map<String, Integer> outcomes = new TreeMap<>();
        int lost = 0;
        long longestMillis = 0;
        for (Request request : sent) {
            boolean inTime = request.answeredInTime(SLACK_MILLIS);
            boolean late = request.status != 0 && !inTime;
            outcomes.merge(late ? "answered too late" : request.outcome(), 1, Integer::sum);
            if (!inTime) {
                lost++;
                record.line("LOST %s: %s", request.id, fate(request));
            }
            if (request.status != 0) {
                longestMillis =
                        Math.max(
                                longestMillis, request.answeredAtMillis - request.arrivedAtMillis);
            }
        }
        record.say("requests of the client proxies: %d, %s", sent.size(), outcomes);
        record.say("longest time to an answer: %d ms", longestMillis);
        record.say(
                "without a final answer in their time: %d, %.1f in 1,000 (allowed: 3)",
                lost, 1000.0 * lost / sent.size());
        return lost <= ALLOWED_SHARE * sent.size();
    }

    private static String fate(Request request) {
        if (request.status != 0) {
            return String.format(
                    "%s, but only after %d ms, and due after %d ms",
                    request.outcome(),
                    request.answeredAtMillis - request.arrivedAtMillis,
                    request.deadlineMillis);
        }
        return request.connectionEndedAtMillis == 0
                ? "never answered"
                : String.format(
                        "its connection ended without an answer, %d ms after it was written",
                        request.connectionEndedAtMillis - request.writtenAtMillis);
    }
}
