package tinroad.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;

/**
 * Generates the script of one soak run from its seed: a small fleet in which each gateway ends once
 * and is started again, with clients of which half do not follow the endpoint list. The same seed
 * gives the same script.
 */
final class SoakScript {
    /** Every third run has more load than the fleet can serve, and clients that retry soon. */
    private static final int OVERLOAD_EVERY = 3;

    private static final double OVERLOAD_LEVEL = 1.4;
    private static final int LENGTH_MILLIS = 10_000;
    private static final int MIN_GATEWAYS = 2;
    private static final int MAX_GATEWAYS = 5;
    private static final int MIN_STOP_MILLIS = 2_600;
    private static final int MAX_STOP_MILLIS = 4_000;
    private static final int MIN_END_AT_MILLIS = 1_500;
    private static final int MAX_END_AT_MILLIS = 3_500;
    private static final int MAX_AWAY_MILLIS = 800;
    private static final int MAX_SIGNALS = 4;
    private static final List<String> SIGNALS = List.of("TERM", "INT", "HUP");

    /** Slow readers, truncated messages, resets and delays, at one gateway each. */
    private static final List<String> CLIENT_FAULTS =
            List.of(
                    "do = throttle, way = out, rate = 20000",
                    "do = half, way = in",
                    "do = half, way = out",
                    "do = reset",
                    "do = delay, delay = 30ms, jitter = 60ms");

    private final long seed;
    private final UniformRandomProvider random;

    private SoakScript(long seed) {
        this.seed = seed;
        random = Draw.stream(seed, "soak");
    }

    /** Returns the script of this seed, in the format of a lab script file. */
    static String of(long seed) {
        return new SoakScript(seed).text();
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min + 1);
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    private String text() {
        boolean overload = seed % OVERLOAD_EVERY == 0;
        int gateways = between(MIN_GATEWAYS, MAX_GATEWAYS);
        int stopMillis = between(MIN_STOP_MILLIS, MAX_STOP_MILLIS);
        List<String> faults = new ArrayList<>();
        for (int gateway = 0; gateway < gateways; gateway++) {
            faults.add(endFault(gateway));
            if (oneIn(3)) {
                faults.add(clientFault(gateway));
            }
            if (oneIn(4)) {
                faults.add(engineFault(gateway));
            }
        }
        return String.format(
                Locale.ROOT,
                """
                title = "soak, seed %d"
                length = %dms, settle = 1s
                fleet { gateways = %d, stop = %dms }
                load { level = %.2f }
                callers { proxies = 4, connections = %d, streams = %d, tries = 0, pause = %dms
                  checks = 500ms, unaware = 0.5 }
                classes = [
                  %s
                  %s ]
                faults = [
                  %s ]
                """,
                seed,
                LENGTH_MILLIS,
                gateways,
                stopMillis,
                overload ? OVERLOAD_LEVEL : 0.3 + 0.5 * random.nextDouble(),
                between(1, 4),
                between(4, 32),
                overload ? 20 : between(20, 200),
                requestClass("order-status", 0.8, true),
                requestClass("new-order", 0.2, oneIn(3)),
                String.join("\n  ", faults));
    }

    private String requestClass(String name, double part, boolean idempotent) {
        int deadlineMillis = between(700, 4_000);
        return String.format(
                Locale.ROOT,
                "{ name = %s, part = %.1f, work = %dms, objective = %dms, deadline = %dms, free ="
                        + " %b }",
                name,
                part,
                between(20, 90),
                deadlineMillis / 2,
                deadlineMillis,
                idempotent);
    }

    private String endFault(int gateway) {
        int draw = random.nextInt(10);
        String action = draw == 0 ? "kill" : draw == 1 ? "kill-gateway" : "notice" + signals();
        return String.format(
                Locale.ROOT,
                "{ do = %s, at = %dms, gateways = [%d], back-least = 0ms, back-most = %dms, folder"
                        + " = keep }",
                action,
                between(MIN_END_AT_MILLIS, MAX_END_AT_MILLIS),
                gateway,
                oneIn(2) ? 0 : MAX_AWAY_MILLIS);
    }

    /** Up to four more signals after the shutdown notice, at the same time or with gaps. */
    private String signals() {
        List<String> names = new ArrayList<>();
        for (int i = random.nextInt(MAX_SIGNALS + 1); i > 0; i--) {
            names.add(SIGNALS.get(random.nextInt(SIGNALS.size())));
        }
        return ", signals = " + names + ", signal-gap = " + (oneIn(2) ? 0 : between(1, 900)) + "ms";
    }

    private String clientFault(int gateway) {
        return String.format(
                Locale.ROOT,
                "{ %s, at = %dms, for = %dms, gateways = [%d], links = [callers] }",
                CLIENT_FAULTS.get(random.nextInt(CLIENT_FAULTS.size())),
                between(MIN_END_AT_MILLIS, MAX_END_AT_MILLIS + 1_000),
                between(300, 2_000),
                gateway);
    }

    /** The engine crashes around the end of its gateway, and restarts or stays down to the end. */
    private String engineFault(int gateway) {
        int awayMillis = oneIn(2) ? LENGTH_MILLIS : between(200, 1_500);
        return String.format(
                Locale.ROOT,
                "{ do = engine-crash, at = %dms, gateways = [%d], back-least = %dms, back-most ="
                        + " %dms }",
                between(MIN_END_AT_MILLIS, MAX_END_AT_MILLIS + 1_000),
                gateway,
                awayMillis,
                awayMillis);
    }
}
