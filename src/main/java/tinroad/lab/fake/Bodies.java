package tinroad.lab.fake;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinroad.lab.schedule.PlannedRequest;

/** What requests carry: the same for all tries of one, and another for another. */
final class Bodies {
    private Bodies() {}

    static byte[] of(PlannedRequest asked) {
        byte[] body = new byte[asked.bodyBytes()];
        Arrays.fill(body, (byte) (asked.number() % 251));
        byte[] number = Integer.toString(asked.number()).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(number, 0, body, 0, number.length);
        return body;
    }
}
