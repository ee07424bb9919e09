package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * Client proxies that have been served on a connection write their next request on it in two
 * pieces, silent for 2.2 s in between. Each request must get its one final answer.
 */
final class SilentWriter extends Case {
    private static final int CONNECTIONS = 20;
    private static final long SILENCE_MILLIS = 2200;
    private static final long CROSSING_MILLIS = 50;

    /** new-order: 6 s, 100 ms of slack, and the 50 ms by which time limits grow on sockets. */
    private static final long DUE_MILLIS = 6000 + 100 + 50;

    public static void main(String[] args) {
        Case.main(new SilentWriter(), args);
    }

    @Override
    String play() throws Exception {
        try (Engine engine = new Engine("engine", 6, record, request -> 60 + random.nextInt(60))) {
            Gateway gateway = new Gateway("gateway", "127.0.0.1:" + Gateway.freePort(),
                    engine.address(), rosterAddress(), 4000, Settings.ORDERS, directory, tmpdir,
                    record);
            gateway.awaitReady(40_000);
            List<Proxy> proxies = new ArrayList<>();
            List<Try> first = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                Proxy proxy = new Proxy("connection " + i, i % 4, gateway.listen, record);
                proxies.add(proxy);
                Try request = order(engine);
                first.add(request);
                proxy.send(request);
                sleep(40);
            }
            for (Try request : first) {
                if (!request.await(DUE_MILLIS) || !request.served()) {
                    throw new IllegalStateException("not served before the trouble: " + request);
                }
            }
            return judge(writeInPieces(engine, proxies), proxies);
        }
    }

    private Try order(Engine engine) {
        Try request =
                new Try(newId(), "new-order", null, "fraser-securities", newBody(), 0, false);
        engine.came(request);
        return request;
    }

    /** The first piece of connection i is 2 i + 2 bytes long. */
    private List<Try> writeInPieces(Engine engine, List<Proxy> proxies) throws Exception {
        List<Try> requests = new ArrayList<>();
        List<byte[]> records = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Try request = order(engine);
            requests.add(request);
            records.add(proxies.get(i).begin(request));
            record.line("connection " + i + " writes " + (2 * i + 2) + " bytes of " + request);
            proxies.get(i).write(records.get(i), 0, 2 * i + 2);
        }
        sleep(trouble ? SILENCE_MILLIS : 20);
        for (int i = 0; i < CONNECTIONS; i++) {
            Try request = requests.get(i);
            if (proxies.get(i).ended() || request.answeredAt > 0) {
                record.line("connection " + i + " does not write on: " + request.fate());
            } else {
                proxies.get(i).write(records.get(i), 2 * i + 2, records.get(i).length);
                proxies.get(i).written(request);
                record.line("connection " + i + " has written all of " + request);
            }
        }
        return requests;
    }

    private String judge(List<Try> requests, List<Proxy> proxies) throws Exception {
        sleep(DUE_MILLIS + 500);
        List<String> lost = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Try request = requests.get(i);
            boolean crossed = request.connectionEndedAt > 0
                    && request.connectionEndedAt <= request.writtenAt + CROSSING_MILLIS;
            record.line("connection " + i + ", first piece of " + (2 * i + 2) + " bytes, "
                    + request + ": " + request.fate()
                    + (proxies.get(i).ended() ? "" : ", connection open"));
            if (request.writtenAt > 0 && request.answeredAt == 0 && !crossed) {
                lost.add("connection " + i + " " + request.id);
            }
        }
        return !tooMany(lost.size(), 2 * CONNECTIONS) ? null : lost.size() + " of "
                + 2 * CONNECTIONS + " requests, written whole on open connections,"
                + " have no answer " + DUE_MILLIS + " ms later: " + lost;
    }
}
