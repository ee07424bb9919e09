package tinroad.state;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SplittableRandom;

/**
 * Kills processes while they write state: {@code KillWrites FOLDER KILLS SEED} from the command
 * line. Damaged counts kills after which a snapshot could not be read, lost those after which one
 * that had been reported as saved was gone.
 */
public final class KillWrites {
    private static final double NOW = 1.8e12;

    private KillWrites() {}

    /** Writes without end and says what it has saved; or, with three arguments, runs a campaign. */
    public static void main(String[] args) throws Exception {
        if (args.length == 3) {
            System.out.println(
                    campaign(Path.of(args[0]), Integer.parseInt(args[1]), Long.parseLong(args[2])));
            return;
        }
        SnapshotStore f = new SnapshotStore(Path.of(args[0]), null, 3);
        long life =
                f.claimIncarnation(
                        SnapshotSelector.select(
                                        f.candidates(),
                                        "n3",
                                        NOW,
                                        600_000,
                                        f.latestMarkedIncarnation(),
                                        0)
                                .lastIncarnation());
        for (long g = 1; ; g++) {
            f.save(StateTest.snapshot(life, g, NOW));
            System.out.println(life + " " + g);
        }
    }

    static String campaign(Path folder, int kills, long seed)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int damaged = 0;
        int lost = 0;
        for (int k = 0; k < kills; k++) {
            String last = lastSaid(KillWrites.class, folder, random);
            SnapshotStore f = new SnapshotStore(folder, null, 3);
            SnapshotSelector.Decision d =
                    SnapshotSelector.select(
                            f.candidates(), "n3", NOW, 600_000, f.latestMarkedIncarnation(), 0);
            damaged += d.rejectedFiles().isEmpty() ? 0 : 1;
            String[] words = last.split(" ");
            Snapshot s = d.snapshot();
            boolean kept =
                    s != null
                            && s.incarnation() == Long.parseLong(words[0])
                            && s.generation() >= Long.parseLong(words[1]);
            lost += kept ? 0 : 1;
        }
        return "kills " + kills + ", damaged " + damaged + ", lost " + lost;
    }

    /**
     * Runs the main method of {@code writer} in a process of its own, kills it while it writes, and
     * returns its last whole line of two numbers.
     */
    public static String lastSaid(Class<?> writer, Path folder, SplittableRandom random)
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
            // So many writes, and then at any moment of the next ones.
            for (int n = random.nextInt(1, 30); n > 0; n--) {
                last = out.readLine();
            }
            Thread.sleep(0, random.nextInt(999_999));
            // By its handle: what it has said can still be read.
            process.toHandle().destroyForcibly();
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                last = line.matches("\\d+ \\d+") ? line : last;
            }
        }
        process.waitFor();
        return last;
    }
}
