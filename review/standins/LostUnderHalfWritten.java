import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Client proxies send at an easy rate, while bad clients write requests but not the ends of them.
 * Every request of the client proxies gets its final answer in its time.
 */
final class LostUnderHalfWritten {
    private static final double PER_SECOND = 12;
    private static final double MEAN_RUN_MILLIS = 350;
    private static final int CLIENT_PROXIES = 3;
    private static final long TROUBLE_MILLIS = 12_000;

    private LostUnderHalfWritten() {}

    /** The kinds of bad clients. */
    private enum Kind {
        /** 900 of them at once, each with half of one request; none comes again. */
        MANY(1024, 900) {
            @Override
            HalfWritten clients(int port) {
                return new HalfWritten(port, HalfWritten.halfRecord(), false);
            }
        },
        /** 20 of them, each with 64 requests that have no end; each comes again. */
        FEW(512, 20) {
            @Override
            HalfWritten clients(int port) {
                return new HalfWritten(port, HalfWritten.unfinishedRequests(64), true);
            }
        };

        final int sockets;
        final int count;

        Kind(int sockets, int count) {
            this.sockets = sockets;
            this.count = count;
        }

        abstract HalfWritten clients(int port);
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Kind kind = Kind.valueOf(arguments[3]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[2]))) {
            exit = play(root, folder, kind, trouble, record);
        } finally {
            Gateway.killAll();
        }
        System.exit(exit == 1 ? Record.BROKEN : exit);
    }

    private static int play(Path root, Path folder, Kind kind, boolean trouble, Record record)
            throws Exception {
        Engine engine = new Engine(record, 6);
        Gateway.Plan plan = new Gateway.Plan();
        plan.listenPort = Gateway.freePort();
        plan.controlPort = Gateway.freePort();
        plan.enginePort = engine.open(1);
        plan.rosterPort = new Roster(record).port();
        plan.sockets = kind.sockets;
        plan.tmpDir = Files.createDirectory(folder.resolve("tmp"));
        plan.settings = Sites.ORDER_ENTRY;
        Gateway gateway = Gateway.start(root, folder, "n3", plan);
        if (!gateway.awaitReady(30_000)) {
            record.say("could not run: the gateway is not ready\n%s", gateway.logText());
            return 2;
        }
        Callers callers =
                new Callers(
                        plan.listenPort,
                        engine,
                        record,
                        "new-order",
                        "fraser-securities",
                        6000,
                        MEAN_RUN_MILLIS,
                        CLIENT_PROXIES);
        callers.start(PER_SECOND);
        Thread.sleep(4000);
        if (callers.sent().stream().noneMatch(request -> request.status == 200)) {
            record.say("could not run: nothing was served before the disruption");
            return 2;
        }
        HalfWritten bad = kind.clients(plan.listenPort);
        if (trouble) {
            record.line("%d bad clients begin", kind.count);
            bad.start(kind.count);
        }
        Thread.sleep(TROUBLE_MILLIS);
        bad.stop();
        record.line("the bad clients end; they made %d connections", bad.connects());
        Thread.sleep(8000);
        callers.stop();
        Thread.sleep(7000);
        callers.close();

        record.line("log of the gateway:\n%s", gateway.logText());
        boolean alive = gateway.process.isAlive();
        record.say("the gateway %s", alive ? "is alive" : "has crashed");
        if (!Verdict.held(callers.sent(), record) || !alive) {
            return 1;
        }
        if (trouble && bad.connects() < kind.count) {
            record.say("could not run: %d bad connections of %d", bad.connects(), kind.count);
            return 2;
        }
        return 0;
    }
}
