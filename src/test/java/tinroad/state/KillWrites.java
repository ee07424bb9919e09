package tinroad.state;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

/**
 * Kills processes while they write state: {@code KillWrites FOLDER KILLS SEED} on the command line.
 * In the result, damaged counts the kills after which a snapshot could not be read, and lost those
 * after which a snapshot that had been reported as saved was gone.
 */
public final class KillWrites {
    private static final double NOW_MILLIS = 1.8e12;

    private KillWrites() {}

    /**
     * With one argument, writes snapshots forever and reports each saved one. With three arguments,
     * runs a campaign of kills.
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 3) {
            System.out.println(
                    campaign(Path.of(args[0]), Integer.parseInt(args[1]), Long.parseLong(args[2])));
            return;
        }
        SnapshotStore store = new SnapshotStore(Path.of(args[0]), null, 3);
        long incarnation =
                store.claimIncarnation(
                        SnapshotSelector.select(
                                        store.candidates(),
                                        "n3",
                                        NOW_MILLIS,
                                        600_000,
                                        store.latestMarkedIncarnation(),
                                        0)
                                .lastIncarnation());
        for (long generation = 1; ; generation++) {
            store.save(SnapshotTest.snapshot(incarnation, generation, NOW_MILLIS));
            System.out.println(incarnation + " " + generation);
        }
    }

    static String campaign(Path folder, int kills, long seed)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int damaged = 0;
        int lost = 0;
        for (int k = 0; k < kills; k++) {
            String last = lastReported(KillWrites.class, folder, random);
            SnapshotStore store = new SnapshotStore(folder, null, 3);
            SnapshotSelector.Decision decision =
                    SnapshotSelector.select(
                            store.candidates(),
                            "n3",
                            NOW_MILLIS,
                            600_000,
                            store.latestMarkedIncarnation(),
                            0);
            damaged += decision.rejectedFiles().isEmpty() ? 0 : 1;
            long[] reported = numbers(last);
            boolean found =
                    decision.snapshot()
                            .filter(snapshot -> snapshot.incarnation() == reported[0])
                            .filter(snapshot -> snapshot.generation() >= reported[1])
                            .isPresent();
            lost += found ? 0 : 1;
        }
        return "kills " + kills + ", damaged " + damaged + ", lost " + lost;
    }

    /** Parses the numbers in a line of {@link #lastReported}. */
    public static long[] numbers(String line) {
        return Pattern.compile(" ").splitAsStream(line).mapToLong(Long::parseLong).toArray();
    }

    /**
     * Runs the main method of {@code writer} in a process of its own, kills it while it writes, and
     * returns its last complete line of two numbers.
     */
    public static String lastReported(Class<?> writer, Path folder, SplittableRandom random)
            throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xshare:auto",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                writer.getName(),
                                folder.toString())
                        .redirectErrorStream(true)
                        .start();
        String last = "";
        try (BufferedReader out = process.inputReader(StandardCharsets.US_ASCII)) {
            // Kills at a random moment after a random number of reported writes.
            for (int n = random.nextInt(1, 30); n > 0; n--) {
                last = out.readLine();
            }
            Thread.sleep(0, random.nextInt(999_999));
            // Through its handle, so that its output can still be read.
            process.toHandle().destroyForcibly();
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                last = line.matches("\\d+ \\d+") ? line : last;
            }
        }
        process.waitFor();
        return last;
    }
}
