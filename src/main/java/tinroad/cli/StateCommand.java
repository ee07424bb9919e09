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

/** {@code state}: shows or checks the snapshots in a state folder; reads only. */
public final class StateCommand extends Command {
    /** What to do, by the word typed. */
    enum Action {
        SHOW,
        VERIFY
    }

    @Argument(
            index = 0,
            metaVar = "show|verify",
            required = true,
            usage = "show what the latest snapshot holds, or check all of them")
    private Action action;

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
            return FAILURE;
        }
        try {
            List<SnapshotSelector.Candidate> found = new SnapshotStore(path, null, 1).candidates();
            if (found.isEmpty()) {
                err.println("tinroad: " + folder + ": no state");
                return FAILURE;
            }
            if (action == Action.VERIFY) {
                verify(found, out);
            } else {
                show(found, out);
            }
            return found.stream().allMatch(candidate -> candidate.readResult().usable().isPresent())
                    ? SUCCESS
                    : FAILURE;
        } catch (IOException e) {
            err.println("tinroad: " + folder + ": can't be read: " + e.getMessage());
            return FAILURE;
        }
    }

    private void verify(List<SnapshotSelector.Candidate> found, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        for (SnapshotSelector.Candidate candidate : found) {
            // No switch over patterns in Java 17.
            if (candidate.readResult() instanceof SnapshotReadResult.Rejected rejected) {
                rows.add(List.of(candidate.file(), rejected.description(), "", 0, 0, 0));
            } else if (candidate.readResult() instanceof SnapshotReadResult.Usable usable) {
                Snapshot snapshot = usable.snapshot();
                rows.add(
                        List.of(
                                candidate.file(),
                                "good",
                                snapshot.name(),
                                snapshot.incarnation(),
                                snapshot.values().size(),
                                snapshot.executedIds().size()));
            }
        }
        output.print(List.of("file", "is", "gateway", "life", "values", "ran"), rows, out);
    }

    private void show(List<SnapshotSelector.Candidate> found, PrintStream out) {
        double nowMillis = System.currentTimeMillis();
        Snapshot snapshot =
                SnapshotSelector.select(found, name(found), nowMillis, Double.MAX_VALUE, 0, 0)
                        .snapshot()
                        .orElse(null);
        List<List<Object>> rows = new ArrayList<>();
        if (snapshot != null) {
            rows.add(
                    List.of(
                            "gateway "
                                    + snapshot.name()
                                    + (snapshot.evacuated() ? ", evacuated" : "")
                                    + ", ids that ran",
                            snapshot.executedIds().size(),
                            0,
                            Math.round((nowMillis - snapshot.savedAtMillis()) / 1000),
                            snapshot.incarnation()));
            for (var entry : snapshot.values().entrySet()) {
                LearnedValue learned = entry.getValue();
                rows.add(
                        List.of(
                                entry.getKey(),
                                learned.value(),
                                learned.weight(),
                                Math.round((nowMillis - learned.learnedAtMillis()) / 1000),
                                learned.incarnation()));
            }
        }
        output.print(List.of("what", "value", "weight", "age_s", "life"), rows, out);
    }

    private static String name(List<SnapshotSelector.Candidate> found) {
        return found.stream()
                .flatMap(candidate -> candidate.readResult().usable().stream())
                .map(Snapshot::name)
                .reduce("", (a, b) -> b);
    }
}
