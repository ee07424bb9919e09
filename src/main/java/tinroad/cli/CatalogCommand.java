package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.CatalogEntry;
import tinroad.catalog.FullSnapshotDiff;
import tinroad.changelog.ChangeDescription;
import tinroad.changelog.ChangeLogStore;
import tinroad.changelog.LogPosition;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.SettingsValidator;
import tinroad.config.SiteWriter;
import tinroad.overload.Controller.RequestClass;

/**
 * {@code catalog}: routes and tenants of configuration files, what differs between two, and the log
 * of their changes.
 */
public final class CatalogCommand extends Command {
    private static final int ENTRIES = 100;

    /** What is wanted. */
    enum Act {
        SHOW(1, "FILE"),
        DIFF(2, "OLD NEW"),
        CHECK(1, "FILE or FOLDER"),
        PUBLISH(3, "OLD NEW FOLDER");

        private final int paths;
        private final String names;

        Act(int paths, String names) {
            this.paths = paths;
            this.names = names;
        }
    }

    @Argument(
            index = 0,
            metaVar = "show|diff|check|publish",
            required = true,
            usage =
                    "show FILE: what is in a configuration; diff OLD NEW: what would change; check"
                        + " FILE or FOLDER: whether it can be used; publish OLD NEW FOLDER: write"
                        + " what differs as the next change of a log")
    private Act act;

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
                    "publish: the publisher's epoch, 1 or above (default: that of the newest"
                            + " change); a higher one ends the earlier ones")
    private Long epoch;

    @Option(
            name = "--keep",
            metaVar = "N",
            usage = "publish: newest changes that stay in the folder")
    private int keep = ChangeLogStore.DEFAULT_KEPT_CHANGES;

    @Override
    About about() {
        return new About(
                "shows, compares and checks routes and tenants of configuration files, and"
                        + " publishes changes",
                "tinroad catalog publish config.old.json config.json /var/lib/tinroad/changes",
                "0  done; all can be used",
                "1  a file can't be read or used, or the change was refused, a line for each fault",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        if (paths.size() != act.paths || (epoch != null && epoch < 1) || keep < 1) {
            err.println(
                    "tinroad: catalog "
                            + act.name().toLowerCase(Locale.ROOT)
                            + " takes "
                            + act.names
                            + ", and numbers from 1 on ('tinroad help catalog' tells more)");
            return WRONG;
        }
        try {
            switch (act) {
                case SHOW -> show(out);
                case DIFF -> diff(out);
                case CHECK -> {
                    if (Files.isDirectory(Path.of(paths.get(0)))) {
                        return checkLog(out);
                    }
                    Catalog c = read(paths.get(0));
                    out.println(
                            "ok: "
                                    + c.classCount()
                                    + " classes, "
                                    + c.tenantCount()
                                    + " orgs, content "
                                    + c.contentHash());
                }
                default -> publish(out);
            }
            return FINE;
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(fault -> err.println("tinroad: " + fault));
        } catch (NoSuchFileException e) {
            err.println("tinroad: " + e.getMessage() + ": no such file or folder");
        } catch (IOException e) {
            err.println("tinroad: " + e.getMessage());
        }
        return FAILED;
    }

    private static Catalog read(String file) throws ConfigException {
        GatewayConfig c = GatewayConfig.read(Path.of(file));
        return Catalog.of(
                0,
                0,
                c.site().classNames(),
                c.site().settings().classes(),
                c.site().tenantNames(),
                c.site().settings().tenants());
    }

    /** What leads from a version to a file; the file is never held whole. */
    private static CatalogChange change(Catalog from, String file, LogPosition as)
            throws ConfigException {
        FullSnapshotDiff whole = new FullSnapshotDiff(from);
        GatewayConfig.read(Path.of(file), whole);
        return whole.change(as.epoch(), as.number());
    }

    private void show(PrintStream out) throws ConfigException, IOException {
        Catalog c = read(paths.get(0));
        output.print(
                List.of("what", "value"),
                List.of(
                        List.of("classes", c.classCount()),
                        List.of("orgs", c.tenantCount()),
                        List.of("content", c.contentHash()),
                        List.of("bytes", Files.size(Path.of(paths.get(0))))),
                out);
    }

    private void diff(PrintStream out) throws ConfigException {
        Catalog old = read(paths.get(0));
        CatalogChange c = change(old, paths.get(1), new LogPosition(0, 1));
        List<List<Object>> rows = new ArrayList<>();
        rows(
                "class",
                c.putClasses(),
                c.removedClasses(),
                old::classEntry,
                CatalogCommand::fields,
                rows);
        rows("org", c.putTenants(), c.removedTenants(), old::tenantEntry, SiteWriter::fields, rows);
        int more = rows.size() - ENTRIES;
        if (more > 0) {
            rows.subList(ENTRIES, rows.size()).clear();
            rows.add(List.of("", "and " + more + " more", "", "", ""));
        }
        output.print(List.of("entry", "name", "change", "from", "to"), rows, out);
    }

    private static Map<String, Object> fields(RequestClass c) {
        Map<String, Object> fields = new LinkedHashMap<>(SiteWriter.fields(c));
        fields.put("class_calls", c.callsDependency());
        fields.put("degraded_worth", c.degradedWeightShare());
        return fields;
    }

    private static <S> void rows(
            String word,
            Map<String, S> put,
            Set<String> removed,
            Function<String, ? extends CatalogEntry<S>> old,
            Function<S, Map<String, Object>> fields,
            List<List<Object>> rows) {
        for (String name : new TreeSet<>(removed)) {
            rows.add(List.of(word, SettingsValidator.shown(name), "removed", "", ""));
        }
        for (Map.Entry<String, S> e : new TreeMap<>(put).entrySet()) {
            CatalogEntry<S> before = old.apply(e.getKey());
            Map<String, Object> from = before == null ? Map.of() : fields.apply(before.spec());
            Map<String, Object> to = fields.apply(e.getValue());
            rows.add(
                    List.of(
                            word,
                            SettingsValidator.shown(e.getKey()),
                            before == null ? "new" : "changed",
                            unlike(from, to),
                            unlike(to, from)));
        }
    }

    /** What {@code one} says otherwise than {@code other}. */
    private static String unlike(Map<String, Object> one, Map<String, Object> other) {
        Map<String, Object> rest = new LinkedHashMap<>(one);
        rest.entrySet().removeIf(e -> e.getValue().equals(other.get(e.getKey())));
        return rest.toString().replaceAll("^.|.$", "");
    }

    /** Each file by itself, and whether each leads on from the one before. */
    private int checkLog(PrintStream out) throws IOException {
        ChangeLogStore folder = new ChangeLogStore(Path.of(paths.get(0)), keep);
        List<List<Object>> rows = new ArrayList<>();
        boolean good = true;
        LogPosition last = null;
        String content = null;
        for (LogPosition at : folder.positions()) {
            String is = "good";
            int size = 0;
            try {
                ChangeLogStore.ChangeReadResult batch = folder.read(at);
                CatalogChange c = batch.change();
                size = c.size();
                if (!batch.errors().isEmpty()) {
                    is = String.join("; ", batch.errors().lines());
                } else if (last != null && !at.follows(last)) {
                    is = "does not follow " + last;
                } else if (content != null
                        && !content.equals(c.hashBefore())
                        && at.epoch() > last.epoch()) {
                    is = "good, from another content: " + c.hashBefore();
                } else if (content != null && !content.equals(c.hashBefore())) {
                    is =
                            "leads on from content "
                                    + c.hashBefore()
                                    + ", and "
                                    + last
                                    + " led to "
                                    + content;
                }
                content = c.hashAfter();
            } catch (IOException e) {
                is = "damaged: " + e.getMessage();
                content = null;
            }
            good &= is.startsWith("good");
            last = at;
            rows.add(List.of(at.toString(), is, size, content == null ? "" : content));
        }
        output.print(List.of("change", "is", "entries", "content"), rows, out);
        return good ? FINE : FAILED;
    }

    private void publish(PrintStream out) throws ConfigException, IOException {
        Path folder = Path.of(paths.get(2));
        ChangeLogStore log = new ChangeLogStore(folder, keep);
        List<LogPosition> there = Files.isDirectory(folder) ? log.positions() : List.of();
        LogPosition newest =
                there.isEmpty()
                        ? new LogPosition(epoch == null ? 1 : epoch, 0)
                        : there.get(there.size() - 1);
        LogPosition next =
                epoch == null || epoch == newest.epoch()
                        ? newest.next()
                        : new LogPosition(epoch, 1);
        Catalog old = read(paths.get(0)).withVersion(newest.epoch(), newest.number());
        CatalogChange c = change(old, paths.get(1), next);
        if (c.size() == 0) {
            out.println("nothing differs: no change written");
            return;
        }
        // As a gateway would take it: what it would refuse is not written.
        ChangeResult outcome = new CatalogBuilder(old).apply(c);
        if (outcome instanceof ChangeResult.Rejected refused) {
            throw new ConfigException(String.join("\n", refused.errors()));
        } else if (!(outcome instanceof ChangeResult.Applied)) {
            throw new IOException(ChangeDescription.of(c, outcome));
        }
        log.append(c);
        out.println(
                "change " + next + " written: " + c.size() + " entries, content " + c.hashAfter());
    }
}
