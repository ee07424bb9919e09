package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tinroad.state.LearnedValue;
import tinroad.state.Snapshot;
import tinroad.state.SnapshotReadResult;
import tinroad.state.SnapshotSelector;
import tinroad.state.SnapshotStore;

/** {@code state}: what lasts of a gateway in a folder; reads only. */
public final class StateCommand extends Command {
    /** What is wanted. */
    enum Act {
        SHOW,
        VERIFY
    }

    @Argument(
            index = 0,
            metaVar = "show|verify",
            required = true,
            usage = "show what the latest snapshot holds, or check all of them")
    private Act act;

    @Argument(index = 1, metaVar = "FOLDER", required = true, usage = "the folder of state")
    private String folder;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "shows or checks what lasts of a gateway in a folder",
                "tinroad state show /var/lib/tinroad/n3",
                "0  every file can be used",
                "1  a file is damaged or of a later version, or there is none",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        Path path = Path.of(folder);
        if (!Files.isDirectory(path)) {
            err.println("tinroad: " + folder + ": no such folder");
            return FAILED;
        }
        try {
            List<SnapshotSelector.Candidate> found = new SnapshotStore(path, null, 1).candidates();
            if (found.isEmpty()) {
                err.println("tinroad: " + folder + ": no state");
                return FAILED;
            }
            if (act == Act.VERIFY) {
                verify(found, out);
            } else {
                show(found, out);
            }
            return found.stream().allMatch(c -> c.readResult().usable().isPresent())
                    ? FINE
                    : FAILED;
        } catch (IOException e) {
            err.println("tinroad: " + folder + ": can't be read: " + e.getMessage());
            return FAILED;
        }
    }

    private void verify(List<SnapshotSelector.Candidate> found, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        for (SnapshotSelector.Candidate c : found) {
            // No switch over patterns in Java 17.
            if (c.readResult() instanceof SnapshotReadResult.Rejected rejected) {
                rows.add(List.of(c.file(), rejected.description(), "", 0, 0, 0));
            } else if (c.readResult() instanceof SnapshotReadResult.Usable usable) {
                Snapshot s = usable.snapshot();
                rows.add(
                        List.of(
                                c.file(),
                                "good",
                                s.name(),
                                s.incarnation(),
                                s.values().size(),
                                s.executedIds().size()));
            }
        }
        output.print(List.of("file", "is", "gateway", "life", "values", "ran"), rows, out);
    }

    private void show(List<SnapshotSelector.Candidate> found, PrintStream out) {
        double nowMillis = System.currentTimeMillis();
        Snapshot s =
                SnapshotSelector.select(found, name(found), nowMillis, Double.MAX_VALUE, 0, 0)
                        .snapshot()
                        .orElse(null);
        List<List<Object>> rows = new ArrayList<>();
        if (s != null) {
            rows.add(
                    List.of(
                            "gateway "
                                    + s.name()
                                    + (s.evacuated() ? ", evacuated" : "")
                                    + ", ids that ran",
                            s.executedIds().size(),
                            0,
                            Math.round((nowMillis - s.savedAtMillis()) / 1000),
                            s.incarnation()));
            for (var e : s.values().entrySet()) {
                LearnedValue r = e.getValue();
                rows.add(
                        List.of(
                                e.getKey(),
                                r.value(),
                                r.weight(),
                                Math.round((nowMillis - r.learnedAtMillis()) / 1000),
                                r.incarnation()));
            }
        }
        output.print(List.of("what", "value", "weight", "age_s", "life"), rows, out);
    }

    private static String name(List<SnapshotSelector.Candidate> found) {
        return found.stream()
                .flatMap(c -> c.readResult().usable().stream())
                .map(Snapshot::name)
                .reduce("", (a, b) -> b);
    }
}
