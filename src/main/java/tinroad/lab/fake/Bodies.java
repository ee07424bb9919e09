package tinroad.lab.fake;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinroad.lab.schedule.PlannedRequest;

/** Bodies of requests: equal for all tries of one request, different for different requests. */
final class Bodies {
    private Bodies() {}

    static byte[] of(PlannedRequest request) {
        byte[] body = new byte[request.bodyBytes()];
        Arrays.fill(body, (byte) (request.number() % 251));
        byte[] number = Integer.toString(request.number()).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(number, 0, body, 0, number.length);
        return body;
    }
}
