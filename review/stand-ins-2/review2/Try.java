package review2;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One try of a request, and what became of it as its client proxy saw it. */
final class Try {
    final String id;
    final String className;

    /** The token of a keyed request, or null. */
    final String token;

    final String tenant;
    final byte[] body;

    /** How long the caller waits from Req-Time on, in ms; 0 if the request does not tell it. */
    final long waitMillis;

    final boolean retry;

    /** Unix ms; 0 if it did not happen. */
    volatile long cameAt;

    volatile long writtenAt;
    volatile long answeredAt;
    volatile long connectionEndedAt;

    /** 0 without a CGI response. */
    volatile int status;

    volatile int protocolStatus = -1;
    volatile byte[] result = new byte[0];
    volatile int answers;

    /** Whether nothing had been answered on its connection when it was begun. */
    volatile boolean onNewConnection;
    private final CountDownLatch over = new CountDownLatch(1);

    Try(String id, String className, String token, String tenant, byte[] body, long waitMillis,
            boolean retry) {
        this.id = id;
        this.className = className;
        this.token = token;
        this.tenant = tenant;
        this.body = body;
        this.waitMillis = waitMillis;
        this.retry = retry;
    }

    void answered(int cgiStatus, int endStatus, byte[] bytes) {
        answers++;
        if (answers == 1) {
            status = cgiStatus;
            protocolStatus = endStatus;
            result = bytes;
            answeredAt = System.currentTimeMillis();
            over.countDown();
        }
    }

    void connectionEnded() {
        if (answeredAt == 0 && connectionEndedAt == 0) {
            connectionEndedAt = System.currentTimeMillis();
            over.countDown();
        }
    }

    boolean await(long millis) throws InterruptedException {
        return over.await(millis, TimeUnit.MILLISECONDS);
    }

    boolean served() {
        return answeredAt > 0 && status == 200;
    }

    /** As the protocol page defines it: status 429 or 503, or OVERLOADED. */
    boolean refused() {
        return answeredAt > 0 && (status == 429 || status == 503 || protocolStatus == 2);
    }

    String fate() {
        return answeredAt > 0
                ? (served() ? "served" : refused() ? "refused" : "failed") + " status=" + status
                        + " protocolStatus=" + protocolStatus + " after "
                        + (answeredAt - cameAt) + " ms"
                : connectionEndedAt > 0
                        ? "connection ended without an answer after "
                                + (connectionEndedAt - cameAt) + " ms"
                        : "no answer";
    }

    String resultText() {
        return new String(result, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return className + " " + id + (token == null ? "" : " token " + token);
    }
}
