package review2;

import java.io.IOException;
import java.net.DatagramPacket;
import java.nio.charset.StandardCharsets;

/**
 * Operators drain a gateway by its door, then a new version takes over. From 4 s after the call on,
 * no health check may get a good answer until the operators end the drain.
 */
final class EvacuatedUpgrade extends Case {
    private static final long MAX_GOOD_MILLIS = 4000;
    private static final long CHECK_PERIOD_MILLIS = 100;
    private static final long KILL_MILLIS = 3700;

    private volatile int reportsOn;
    private volatile long evacuatedAt = Long.MAX_VALUE;

    public static void main(String[] args) {
        Case.main(new EvacuatedUpgrade(), args);
    }

    @Override
    String play() throws Exception {
        try (Engine engine = new Engine("engine of old", 6, record, request -> 50);
                Engine nextEngine = new Engine("engine of new", 6, record, request -> 50)) {
            Engine.daemon(this::readReports, "roster").start();
            String listen = "127.0.0.1:" + Gateway.freePort();
            Gateway old = new Gateway("old", listen, engine.address(), rosterAddress(), 4000,
                    Settings.ORDERS, directory, tmpdir, record);
            old.awaitReady(40_000);
            if (Proxy.healthCheck(listen, record) != 200) {
                throw new IllegalStateException("no good answer before the drain");
            }
            int status = old.call("POST", "/api/evacuate");
            evacuatedAt = System.currentTimeMillis();
            record.line("POST /api/evacuate: " + status);
            if (status / 100 != 2) {
                throw new IllegalStateException("the drain was not accepted: " + status);
            }
            int good = checks(listen, 5000);
            if (trouble) {
                Gateway next = new Gateway("new", listen, nextEngine.address(), rosterAddress(),
                        4000, Settings.ORDERS, directory, tmpdir, record);
                next.awaitReady(40_000);
                good += checks(listen, 2000);
                old.signal("TERM");
                long killAt = System.currentTimeMillis() + KILL_MILLIS;
                good += checks(listen, 5000);
                sleepUntil(killAt);
                if (old.alive()) {
                    old.signal("KILL");
                }
            } else {
                good += checks(listen, 8000);
            }
            record.line(good + " good answers later than 4 s after the call, " + reportsOn
                    + " reports 'on' to the roster");
            return good == 0 ? null
                    : good + " health checks got a good answer later than 4 s after the call, and"
                            + " the roster got " + reportsOn + " reports 'on'";
        }
    }

    /** Checks for this long; returns how many good answers came too late. */
    private int checks(String listen, long millis) {
        long end = System.currentTimeMillis() + millis;
        int good = 0;
        while (System.currentTimeMillis() < end) {
            long at = System.currentTimeMillis();
            int status = Proxy.healthCheck(listen, record);
            boolean late = status == 200 && at > evacuatedAt + MAX_GOOD_MILLIS;
            good += late ? 1 : 0;
            record.line("health check " + (at - evacuatedAt) + " ms after the call: " + status);
            sleep(CHECK_PERIOD_MILLIS);
        }
        return good;
    }

    private void readReports() {
        byte[] buffer = new byte[200];
        while (!roster.isClosed()) {
            DatagramPacket report = new DatagramPacket(buffer, buffer.length);
            try {
                roster.receive(report);
            } catch (IOException e) {
                return;
            }
            String text =
                    new String(buffer, 0, report.getLength(), StandardCharsets.US_ASCII);
            if (text.endsWith(" on") && System.currentTimeMillis() > evacuatedAt + 1000) {
                reportsOn++;
            }
        }
    }
}
