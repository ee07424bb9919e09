package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.FullSnapshotDiff;
import tinroad.changelog.ChangeDescription;
import tinroad.changelog.ChangeLogStore;
import tinroad.changelog.LogPosition;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;

/**
 * The command {@code catalog}: shows, compares and checks the classes and tenants of configuration
 * files, and publishes changes to a change log.
 */
public final class CatalogCommand extends Command {
    /** The actions, named as on the command line, and the paths that they take. */
    enum Action {
        SHOW(1, "FILE"),
        DIFF(2, "OLD NEW"),
        CHECK(1, "FILE or FOLDER"),
        PUBLISH(3, "OLD NEW FOLDER");

        private final int pathCount;
        private final String pathNames;

        Action(int pathCount, String pathNames) {
            this.pathCount = pathCount;
            this.pathNames = pathNames;
        }
    }

    @Argument(
            index = 0,
            metaVar = "show|diff|check|publish",
            required = true,
            usage =
                    "show FILE: summarize a configuration; diff OLD NEW: list the differences;"
                        + " check FILE or FOLDER: validate a configuration or a change log; publish"
                        + " OLD NEW FOLDER: write the differences as the next change of a change"
                        + " log")
    private Action action;

    @Argument(
            index = 1,
            metaVar = "PATH",
            required = true,
            usage = "configuration files, and the folder of a change log")
    private List<String> paths = new ArrayList<>();

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Option(
            name = "--epoch",
            metaVar = "N",
            usage =
                    "publish: the publisher's epoch, 1 or more (default: that of the newest"
                            + " change); a higher epoch ends the lower ones")
    private Long epoch;

    @Option(
            name = "--keep",
            metaVar = "N",
            usage = "publish: how many of the newest changes stay in the folder")
    private int retainedChanges = ChangeLogStore.DEFAULT_KEPT_CHANGES;

    @Override
    About about() {
        return new About(
                "shows, compares and checks classes and tenants of configuration files, and"
                        + " publishes changes",
                "tinroad catalog publish config.old.json config.json /var/lib/tinroad/changes",
                "0  done; all files can be used",
                "1  a file can't be read or used, or the change was refused; one line per error",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        if (paths.size() != action.pathCount
                || (epoch != null && epoch < 1)
                || retainedChanges < 1) {
            err.println(
                    "tinroad: catalog "
                            + action.name().toLowerCase(Locale.ROOT)
                            + " takes "
                            + action.pathNames
                            + "; --epoch and --keep must be 1 or more (see 'tinroad help"
                            + " catalog')");
            return USAGE_ERROR;
        }
        try {
            switch (action) {
                case SHOW -> show(out);
                case DIFF -> diff(out);
                case CHECK -> {
                    if (Files.isDirectory(Path.of(paths.get(0)))) {
                        return checkLog(out);
                    }
                    checkFile(out);
                }
                default -> publish(out);
            }
            return SUCCESS;
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(error -> err.println("tinroad: " + error));
        } catch (NoSuchFileException e) {
            err.println("tinroad: " + e.getMessage() + ": no such file or folder");
        } catch (IOException e) {
            err.println("tinroad: " + e.getMessage());
        }
        return FAILURE;
    }

    private static Catalog read(String file) throws ConfigException {
        GatewayConfig config = GatewayConfig.read(Path.of(file));
        return Catalog.of(
                0,
                0,
                config.site().classNames(),
                config.site().settings().classes(),
                config.site().tenantNames(),
                config.site().settings().tenants());
    }

    /**
     * Returns the change from a catalog to the content of a file, which is read as a stream.
     *
     * @param position the position of the change in a change log
     */
    private static CatalogChange change(Catalog from, String file, LogPosition position)
            throws ConfigException {
        FullSnapshotDiff diff = new FullSnapshotDiff(from);
        GatewayConfig.read(Path.of(file), diff);
        return diff.change(position.epoch(), position.number());
    }

    private void show(PrintStream out) throws ConfigException, IOException {
        Catalog catalog = read(paths.get(0));
        output.print(
                List.of("what", "value"),
                List.of(
                        List.of("classes", catalog.classCount()),
                        List.of("orgs", catalog.tenantCount()),
                        List.of("content", catalog.contentHash()),
                        List.of("bytes", Files.size(Path.of(paths.get(0))))),
                out);
    }

    private void diff(PrintStream out) throws ConfigException {
        Catalog old = read(paths.get(0));
        CatalogChange change = change(old, paths.get(1), new LogPosition(0, 1));
        output.print(CatalogDiff.COLUMNS, new CatalogDiff(old, change).rows(), out);
    }

    private void checkFile(PrintStream out) throws ConfigException {
        Catalog catalog = read(paths.get(0));
        out.println(
                "ok: "
                        + catalog.classCount()
                        + " classes, "
                        + catalog.tenantCount()
                        + " orgs, content "
                        + catalog.contentHash());
    }

    private int checkLog(PrintStream out) throws IOException {
        ChangeLogCheck check =
                ChangeLogCheck.of(new ChangeLogStore(Path.of(paths.get(0)), retainedChanges));
        output.print(ChangeLogCheck.COLUMNS, check.rows(), out);
        return check.allGood() ? SUCCESS : FAILURE;
    }

    private void publish(PrintStream out) throws ConfigException, IOException {
        Path folder = Path.of(paths.get(2));
        ChangeLogStore log = new ChangeLogStore(folder, retainedChanges);
        List<LogPosition> existing = Files.isDirectory(folder) ? log.positions() : List.of();
        LogPosition newest =
                existing.isEmpty()
                        ? new LogPosition(epoch == null ? 1 : epoch, 0)
                        : existing.get(existing.size() - 1);
        LogPosition next =
                epoch == null || epoch == newest.epoch()
                        ? newest.next()
                        : new LogPosition(epoch, 1);
        Catalog old = read(paths.get(0)).withVersion(newest.epoch(), newest.number());
        CatalogChange change = change(old, paths.get(1), next);
        if (change.size() == 0) {
            out.println("nothing differs: no change written");
            return;
        }
        // Applied as a gateway applies it: a change that a gateway would reject is not written.
        ChangeResult result = new CatalogBuilder(old).apply(change);
        if (result instanceof ChangeResult.Rejected rejected) {
            throw new ConfigException(String.join("\n", rejected.errors()));
        } else if (!(result instanceof ChangeResult.Applied)) {
            throw new IOException(ChangeDescription.of(change, result));
        }
        log.append(change);
        out.println(
                "change "
                        + next
                        + " written: "
                        + change.size()
                        + " entries, content "
                        + change.hashAfter());
    }
}
