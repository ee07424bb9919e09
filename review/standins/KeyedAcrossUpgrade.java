import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client proxy sends further tries of keyed requests while the platform replaces the gateway by a
 * new version. No request may run twice within its window.
 */
final class KeyedAcrossUpgrade {
    private static final long WINDOW_MILLIS = 23_640;
    private static final int REQUESTS = 5;
    private static final String SETTINGS =
            """
            {"classes":[
             {"name":"css","objective":1600.0,"deadline":4700.0,"gain":1.0,"late_share":0.0,"semantics":"free","key_ttl":5000.0},
             {"name":"licens","objective":3200.0,"deadline":7900.0,"gain":5.0,"late_share":0.2,"semantics":"guarded","key_ttl":23640.0}],
             "orgs":[{"name":"dagspress","quota_per_s":89.0,"share":1.0}],
             "family_info":{"cores":6,"callers":3,"memory_kb":40000.0,"run_factor":16.0,"idle":30000.0,
              "kb_per_key":10.0,"fresh_for":0.0,"passes_deadline":true,"hangup_seen":true,
              "just_started":false,"say":"min_rank","said_for":1000.0,"halt":"none","below":"none",
              "meters":["core_use","on_cores","heap_share","links"]},
             "caps":{"max_retry_after":1000.0,"retry_after":true},
             "clients":{"marks_retry":true},
             "goal":{"whole":0.4,"worst_window":0.3,"worst_class":0.2,"worst_tenant":0.1},
             "rules":{"answer_slack":80.0,"cold_from":0.28,"ramp_time":17000.0,"drain_grace":2000.0,
              "fall":1500.0,"fall_multiple":8.0},
             "servers":11,"step":2.0,"over_share_worth":0.1,"worth_by":"request"}""";

    private static Request attempt(Engine engine, int number, int attempt, long waitMillis, long run) {
        Request request =
                new Request(
                        String.format("%08x%08x", attempt, number),
                        "licens",
                        "dagspress",
                        "page views, report " + number,
                        waitMillis);
        request.moreFields.put("HTTP_REQ_TOKEN", String.format("%032x", 0x5c0f6e1aL + number));
        request.moreFields.put("HTTP_REQ_WAIT_MS", Long.toString(waitMillis));
        if (attempt > 1) {
            request.moreFields.put("HTTP_REQ_RETRY", "1");
        }
        engine.expect(request.id, request.className, request.body, run);
        return request;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[2]))) {
            exit = play(root, folder, trouble, record);
        } finally {
            Gateway.killAll();
        }
        System.exit(exit == 1 ? Record.BROKEN : exit);
    }

    private static int play(Path root, Path folder, boolean trouble, Record record)
            throws Exception {
        Engine engine = new Engine(record, 6);
        Gateway.Plan plan = new Gateway.Plan();
        plan.listenPort = Gateway.freePort();
        plan.controlPort = Gateway.freePort();
        plan.enginePort = engine.open(1);
        plan.rosterPort = new Roster(record).port();
        plan.stopMillis = 3700;
        plan.tmpDir = Files.createDirectory(folder.resolve("tmp"));
        plan.settings = SETTINGS;
        Gateway old = Gateway.start(root, folder, "old", plan);
        if (!old.awaitReady(30_000)) {
            record.say("could not run: the gateway is not ready\n%s", old.logText());
            return 2;
        }
        ProxyConnection first = new ProxyConnection(plan.listenPort, record);
        // One request of the other class, as a sign that the connection serves.
        Request plain = new Request("00000000000000c5", "css", "dagspress", "sheet", 4700);
        plain.moreFields.put("HTTP_REQ_WAIT_MS", "4700");
        engine.expect(plain.id, plain.className, plain.body, 100);
        first.send(plain);
        Thread.sleep(600);
        if (plain.status != 200) {
            record.say("could not run: a first request got: %s", plain.outcome());
            return 2;
        }

        if (trouble) {
            Gateway.Plan next = new Gateway.Plan();
            next.listenPort = plan.listenPort;
            next.controlPort = Gateway.freePort();
            next.enginePort = engine.open(2);
            next.rosterPort = plan.rosterPort;
            next.stopMillis = plan.stopMillis;
            next.tmpDir = plan.tmpDir;
            next.settings = SETTINGS;
            record.line("the platform starts \"run\" a second time");
            Gateway successor = Gateway.start(root, folder, "new", next);
            if (!successor.awaitReady(30_000)) {
                record.say("could not run: the new process is not ready\n%s", successor.logText());
                return 2;
            }
            record.line("the new process says that it is ready");
        }

        // The first tries. The caller waits 1.5 s for each; its run takes longer.
        List<Request> firstTries = new ArrayList<>();
        for (int i = 1; i <= REQUESTS; i++) {
            Request request = attempt(engine, i, 1, 1500, 2000);
            firstTries.add(request);
            first.send(request);
        }
        Thread.sleep(300);
        if (trouble) {
            record.line("the platform sends SIGTERM to the old process");
            old.terminate();
        }
        Thread.sleep(1500);

        // The caller got no result in its time, and tries again at the same address.
        List<Request> secondTries = new ArrayList<>();
        ProxyConnection second = new ProxyConnection(plan.listenPort, record);
        for (int i = 1; i <= REQUESTS; i++) {
            Request request = attempt(engine, i, 2, 6000, 300);
            secondTries.add(request);
            second.send(request);
        }
        Thread.sleep(4500);

        int broken = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Request one = firstTries.get(i);
            Request two = secondTries.get(i);
            List<Engine.Run> runs =
                    engine.runs().stream()
                            .filter(run -> run.id().equals(one.id) || run.id().equals(two.id))
                            .toList();
            boolean within = two.writtenAtMillis <= one.arrivedAtMillis + WINDOW_MILLIS;
            record.say(
                    "request %d: first try %s, second try %s, written %d ms after Req-Time of the"
                            + " first, runs: %d%s",
                    i + 1,
                    one.outcome(),
                    two.outcome(),
                    two.writtenAtMillis - one.arrivedAtMillis,
                    runs.size(),
                    runs.size() > 1 && within ? "  BROKEN: ran twice within its window" : "");
            broken += runs.size() > 1 && within ? 1 : 0;
        }
        if (engine.runs().stream().noneMatch(run -> run.className().equals("licens"))) {
            record.say("could not run: no keyed request ran at all");
            return 2;
        }
        record.say("%d of %d keyed requests ran twice", broken, REQUESTS);
        return broken > 0 ? 1 : 0;
    }
}
