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

/** The command {@code state}: shows or checks the snapshots in a state folder; only reads. */
public final class StateCommand extends Command {
    /** The actions, named as on the command line. */
    enum Action {
        SHOW,
        VERIFY
    }

    @Argument(
            index = 0,
            metaVar = "show|verify",
            required = true,
            usage = "show the content of the latest snapshot, or check all snapshots")
    private Action action;

    @Argument(index = 1, metaVar = "FOLDER", required = true, usage = "the state folder")
    private String folder;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "shows or checks the snapshots of a gateway in a state folder",
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
            List<SnapshotSelector.Candidate> candidates =
                    new SnapshotStore(path, null, 1).candidates();
            if (candidates.isEmpty()) {
                err.println("tinroad: " + folder + ": no state");
                return FAILURE;
            }
            if (action == Action.VERIFY) {
                verify(candidates, out);
            } else {
                show(candidates, out);
            }
            return candidates.stream()
                            .allMatch(candidate -> candidate.readResult().usable().isPresent())
                    ? SUCCESS
                    : FAILURE;
        } catch (IOException e) {
            err.println("tinroad: " + folder + ": can't be read: " + e.getMessage());
            return FAILURE;
        }
    }

    private void verify(List<SnapshotSelector.Candidate> candidates, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        for (SnapshotSelector.Candidate candidate : candidates) {
            // Java 17 has no pattern matching for switch.
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

    private void show(List<SnapshotSelector.Candidate> candidates, PrintStream out) {
        double nowMillis = System.currentTimeMillis();
        Snapshot snapshot =
                SnapshotSelector.select(
                                candidates,
                                gatewayName(candidates),
                                nowMillis,
                                Double.MAX_VALUE,
                                0,
                                0)
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

    /** Returns the gateway's name in the last usable snapshot, or "". */
    private static String gatewayName(List<SnapshotSelector.Candidate> candidates) {
        return candidates.stream()
                .flatMap(candidate -> candidate.readResult().usable().stream())
                .map(Snapshot::name)
                .reduce("", (a, b) -> b);
    }
}
