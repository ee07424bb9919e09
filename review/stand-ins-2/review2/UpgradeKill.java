package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * A new version takes over under load; the old process gets SIGTERM once the new one is ready, and
 * SIGKILL 3.7 s later. Whatever the old process has read must be answered.
 */
final class UpgradeKill extends Case {
    /** 0.7 s after the longest deadline, which is 13 s and counts as 3 s. */
    private static final long KILL_MILLIS = 3700;

    /** The drain of a deploy in the site file: 3.4 to 5.7 s. */
    private static final long STOP_MILLIS = 5000;

    private static final long LONG_RUN_MILLIS = 4500;

    public static void main(String[] args) {
        Case.main(new UpgradeKill(), args);
    }

    @Override
    String play() throws Exception {
        try (Engine engine = new Engine("engine of old", 6, record, this::runMillis);
                Engine nextEngine = new Engine("engine of new", 6, record, this::runMillis)) {
            String listen = "127.0.0.1:" + Gateway.freePort();
            Gateway old = new Gateway("old", listen, engine.address(), rosterAddress(),
                    STOP_MILLIS, Settings.FONTS, directory, tmpdir, record);
            old.awaitReady(40_000);
            List<Proxy> proxies = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                proxies.add(new Proxy("connection " + i, i, listen, record));
            }
            List<Try> requests = new ArrayList<>();
            load(engine, proxies, requests, 40);
            Gateway next = null;
            if (trouble) {
                next = new Gateway("new", listen, nextEngine.address(), rosterAddress(),
                        STOP_MILLIS, Settings.FONTS, directory, tmpdir, record);
                next.awaitReady(40_000);
            }
            load(engine, proxies, requests, 40);
            if (trouble) {
                old.signal("TERM");
                long killAt = System.currentTimeMillis() + KILL_MILLIS;
                old.awaitEnd(KILL_MILLIS);
                sleepUntil(killAt);
                if (old.alive()) {
                    old.signal("KILL");
                } else {
                    record.line("old has ended by itself");
                }
            }
            String broken = judge(engine, requests);
            if (trouble && broken == null && requests.stream().noneMatch(this::ranLong)) {
                throw new IllegalStateException("no long request ran when the old one had to go");
            }
            return broken;
        }
    }

    private boolean ranLong(Try request) {
        return request.body[0] == 1 && (request.served() || request.answeredAt == 0);
    }

    /** Whether a request is a long one is told by the first byte of its body. */
    private long runMillis(Try request) {
        return request.body[0] == 1 ? LONG_RUN_MILLIS : 200 + random.nextInt(300);
    }

    /**
     * Sends this many requests, one every 100 ms, over all connections in turn; every fourth one is
     * of the class subset, and two of the last eight run long.
     */
    private void load(Engine engine, List<Proxy> proxies, List<Try> requests, int count)
            throws Exception {
        for (int i = 0; i < count; i++) {
            byte[] body = newBody();
            body[0] = (byte) (i % 4 == 3 && i >= count - 8 ? 1 : 0);
            String className = i % 4 == 3 ? "subset" : i % 2 == 0 ? "css" : "woff";
            Try request = new Try(newId(), className, null, "dagspress", body,
                    className.equals("subset") ? 13_000 : className.equals("css") ? 4700 : 7900,
                    false);
            engine.came(request);
            requests.add(request);
            proxies.get(i % proxies.size()).send(request);
            sleep(100);
        }
    }

    /** Counts only requests that the old process had read: its engine had been told to run them. */
    private String judge(Engine engine, List<Try> requests) throws Exception {
        List<String> lost = new ArrayList<>();
        for (Try request : requests) {
            request.await(Math.max(0, request.cameAt + request.waitMillis + 130
                    - System.currentTimeMillis()));
            if (request.answeredAt == 0) {
                boolean read = engine.started(request.id);
                record.line(request + ": " + request.fate() + (read ? ", it was run" : ""));
                if (read) {
                    lost.add(request.toString());
                }
            }
        }
        return !tooMany(lost.size(), requests.size()) ? null
                : lost.size() + " of " + requests.size()
                        + " requests were read by the old process and never answered: "
                        + lost;
    }
}
