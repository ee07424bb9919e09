package tinroad.changelog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;
import tinroad.state.KillWrites;

/**
 * Kills processes while they write a change log: {@code KillLogWrites FOLDER KILLS SEED} on the
 * command line. In the result, damaged counts the kills after which a reader that follows all the
 * time had a problem, and lost those after which a change that had been reported as written was
 * missing.
 */
public final class KillLogWrites {
    private static final int MAX_CHANGES = 100_000;
    private static final int TENANTS_PER_CHANGE = 20;

    private KillLogWrites() {}

    /**
     * With one argument, writes changes forever and reports each written one. With three arguments,
     * runs a campaign of kills.
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 3) {
            System.out.println(
                    campaign(Path.of(args[0]), Integer.parseInt(args[1]), Long.parseLong(args[2])));
            return;
        }
        ChangeLogStore store = new ChangeLogStore(Path.of(args[0]), MAX_CHANGES);
        List<LogPosition> positions =
                Files.isDirectory(Path.of(args[0])) ? store.positions() : List.of();
        CatalogBuilder builder =
                new CatalogBuilder(
                        positions.isEmpty()
                                ? base()
                                : content(positions.get(positions.size() - 1).number()));
        for (long n = builder.current().number() + 1; ; n++) {
            CatalogChange c = quotas(builder.current(), 1, n, TENANTS_PER_CHANGE);
            store.append(c);
            builder.apply(c);
            System.out.println(1 + " " + n);
        }
    }

    static Catalog base() {
        return Catalog.of(
                0,
                0,
                List.of("a"),
                List.of(new RequestClass(0, 0, 10, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0)),
                List.of(),
                List.of());
    }

    /**
     * Returns the content that the log has led to at this number, without reading the log, as the
     * publisher's settings file has it.
     */
    private static Catalog content(long number) {
        List<String> names = IntStream.range(0, TENANTS_PER_CHANGE).mapToObj(i -> "t" + i).toList();
        return Catalog.of(
                1,
                number,
                List.of("a"),
                List.of(base().classEntry("a").spec()),
                names,
                names.stream().map(name -> new Tenant(number, 0)).toList());
    }

    /**
     * Creates the next change of the content: {@code entries} tenants, each with the number of the
     * change as its quota.
     */
    static CatalogChange quotas(Catalog now, long epoch, long number, int entries) {
        Map<String, Tenant> put = new HashMap<>();
        for (int i = 0; i < entries; i++) {
            put.put("t" + i, new Tenant(number, 0));
        }
        CatalogChange c = new CatalogChange(epoch, number, Map.of(), Set.of(), put, Set.of());
        return new CatalogChange(
                epoch,
                number,
                c.putClasses(),
                c.removedClasses(),
                put,
                c.removedTenants(),
                now.contentHash(),
                now.hashAfter(c));
    }

    /** Applies all changes in the log. Returns the lines for operators. */
    static String follow(ChangeLogFollower follower, CatalogBuilder builder) {
        StringBuilder lines = new StringBuilder();
        // Polls twice more after the last change, as only then the folder is checked.
        for (int idle = 0; idle < 2; ) {
            ChangeLogFollower.PollResult result = follower.poll(builder);
            idle = result.applied().isEmpty() ? idle + 1 : 0;
            result.logLine().ifPresent(line -> lines.append(line).append('\n'));
        }
        return lines.toString();
    }

    static String campaign(Path folder, int kills, long seed)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        ChangeLogFollower follower =
                new ChangeLogFollower(new ChangeLogStore(folder, MAX_CHANGES), "log", null);
        CatalogBuilder builder = new CatalogBuilder(base());
        int damaged = 0;
        int lost = 0;
        for (int k = 0; k < kills; k++) {
            Reader reader = new Reader(follower, builder);
            reader.start();
            String last = KillWrites.lastReported(KillLogWrites.class, folder, random);
            reader.stopped = true;
            reader.join();
            damaged += reader.problems + follow(follower, builder).length() > 0 ? 1 : 0;
            Tenant t =
                    builder.current().number() == 0
                            ? null
                            : builder.current().tenantEntry("t" + (TENANTS_PER_CHANGE - 1)).spec();
            lost +=
                    t != null
                                    && t.quotaPerSecond() == builder.current().number()
                                    && builder.current().number() >= KillWrites.numbers(last)[1]
                            ? 0
                            : 1;
        }
        return "kills " + kills + ", damaged " + damaged + ", lost " + lost;
    }

    /** Follows the log while it is written. */
    private static final class Reader extends Thread {
        private final ChangeLogFollower follower;
        private final CatalogBuilder builder;
        private volatile boolean stopped;
        private int problems;

        Reader(ChangeLogFollower follower, CatalogBuilder builder) {
            this.follower = follower;
            this.builder = builder;
        }

        @Override
        public void run() {
            boolean applied = builder.current().number() > 0;
            while (!stopped) {
                ChangeLogFollower.PollResult result = follower.poll(builder);
                applied |= result.applied().isPresent();
                // The folder does not exist before the first change.
                problems += result.logLine().isPresent() && applied ? 1 : 0;
                Thread.onSpinWait();
            }
        }
    }
}
