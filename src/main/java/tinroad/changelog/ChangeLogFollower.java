package tinroad.changelog;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.FullSnapshotDiff;

/**
 * Follows a change log, a change at a time and in order. Where the log can't be followed, the
 * catalog that serves stays, and one line tells why, once until it changes. A look that finds
 * nothing costs two questions to the file system: the next name, and whether the folder changed;
 * names are listed only then, and now and again all the same. Used by one thread, which owns the
 * editor, too.
 */
public final class ChangeLogFollower {
    /**
     * Looks after which the folder is listed, and a refused change is tried again, though nothing
     * seems to have changed.
     */
    static final int ANYWAY = 64;

    private final ChangeLogStore folder;
    private final String name;

    /** What an earlier life had: the log may not end before it. */
    private LogPosition least;

    /** The last position of earlier epochs that was there when this one began. */
    private LogPosition over;

    private LogPosition newest;
    private String told;
    private List<Object> listed = List.of();
    private boolean settled;
    private List<Object> tried = List.of();
    private int looks;

    /**
     * Follows the log in {@code folder}, which lines call {@code name}.
     *
     * @param least the last position that is known to have been there, from an earlier life; null:
     *     not known
     */
    public ChangeLogFollower(ChangeLogStore folder, String name, LogPosition least) {
        this.folder = folder;
        this.name = name;
        this.least = least;
    }

    /** What one look led to; both null: nothing new. {@code line} is one for the operators' log. */
    public record PollResult(ChangeResult.Applied applied, String logLine) {
        static final PollResult NOTHING = new PollResult(null, null);
    }

    /** What can't be followed; the message is the line. */
    private static final class TroubleException extends Exception {
        private static final long serialVersionUID = 1L;

        TroubleException(String line) {
            super(line);
        }
    }

    /**
     * The same content as the version of the log that it is; unchanged where the log does not know
     * it, or can't be read.
     */
    public Catalog locate(Catalog read) {
        try {
            LogPosition at = folder.locate(read.contentHash());
            return at == null ? read : read.withVersion(at.epoch(), at.number());
        } catch (IOException e) {
            // Told by the first step.
            return read;
        }
    }

    /** The newest change that the log was seen to hold; null: none was seen. */
    public LogPosition newest() {
        return newest;
    }

    /** Why the log can't be followed; null where it can. */
    public String lastProblem() {
        return told;
    }

    /** Takes the next change into the editor, if it is there and can be taken. */
    public PollResult poll(CatalogBuilder editor) {
        looks++;
        try {
            return look(editor);
        } catch (TroubleException e) {
            return tell(e.getMessage());
        } catch (NoSuchFileException e) {
            return tell(name + " is not there");
        } catch (IOException e) {
            return tell(name + " can't be read: " + e);
        }
    }

    private PollResult tell(String line) {
        if (line.equals(told)) {
            return PollResult.NOTHING;
        }
        told = line;
        return new PollResult(null, line);
    }

    private PollResult look(CatalogBuilder editor) throws IOException, TroubleException {
        LogPosition at = position(editor.current());
        LogPosition next = at.next();
        Object stamp = folder.stamp(next);
        if (stamp != null) {
            try {
                return take(editor, next, stamp);
            } catch (TroubleException e) {
                LogPosition instead = instead(editor.current());
                if (instead == null) {
                    throw e;
                }
                return take(editor, instead, folder.stamp(instead));
            }
        }
        List<Object> seen = List.of(String.valueOf(folder.stamp()), at);
        boolean same = seen.equals(listed);
        if (same && settled && looks % ANYWAY != 0) {
            return PollResult.NOTHING;
        }
        // Once more after each change: what comes within one tick of the folder's time leaves no
        // trace in it.
        settled = same;
        listed = seen;
        return list(editor, at);
    }

    private PollResult list(CatalogBuilder editor, LogPosition at)
            throws IOException, TroubleException {
        List<LogPosition> there = folder.positions();
        LogPosition last = there.isEmpty() ? null : there.get(there.size() - 1);
        newest = last;
        LogPosition following =
                there.stream().filter(p -> p.compareTo(at) > 0).findFirst().orElse(null);
        if (following != null && following.follows(at)) {
            return take(editor, following, folder.stamp(following));
        }
        if (following != null) {
            throw new TroubleException(
                    name
                            + ": "
                            + at.next()
                            + " is missing, the oldest change after it is "
                            + following
                            + ": the settings file as it is now has to be read, by SIGHUP");
        }
        if (there.contains(at)
                && !editor.current().contentHash().equals(folder.head(at).hashAfter())) {
            throw new TroubleException(diverged(at, editor.current().contentHash()));
        }
        for (LogPosition p : there) {
            if (over != null && p.epoch() < at.epoch() && p.compareTo(over) > 0) {
                throw new TroubleException(
                        name
                                + ": change "
                                + p
                                + " came after its epoch was over: not taken, "
                                + at.epoch()
                                + " goes on");
            }
        }
        LogPosition had = least != null && least.compareTo(at) > 0 ? least : at;
        if (had.epoch() > 0 && (last == null || last.compareTo(had) < 0)) {
            throw new TroubleException(
                    name
                            + " was rolled back: "
                            + had
                            + " was taken, and "
                            + (last == null ? "it is empty" : "the newest is " + last));
        }
        least = null;
        if (told != null) {
            told = null;
            return new PollResult(null, name + " is followed again from " + at);
        }
        return PollResult.NOTHING;
    }

    /**
     * A higher epoch that leads on from what serves, where the next change of this one can't be
     * taken.
     */
    private LogPosition instead(Catalog now) throws IOException {
        for (LogPosition p : folder.positions()) {
            if (p.epoch() > now.epoch() && p.number() == 1) {
                try {
                    if (now.contentHash().equals(folder.head(p).hashBefore())) {
                        return p;
                    }
                } catch (CorruptChangeException e) {
                    // Not this one, then.
                }
            }
        }
        return null;
    }

    private PollResult take(CatalogBuilder editor, LogPosition p, Object stamp)
            throws IOException, TroubleException {
        List<Object> attempt = List.of(p, String.valueOf(stamp), editor.current().contentHash());
        if (attempt.equals(tried) && looks % ANYWAY != 0) {
            return PollResult.NOTHING;
        }
        tried = attempt;
        ChangeLogStore.ChangeReadResult batch;
        try {
            batch = folder.read(p);
        } catch (CorruptChangeException e) {
            throw new TroubleException(name + ": change " + p + " is damaged: " + e.getMessage());
        } catch (NoSuchFileException e) {
            // Pruned in this moment; the next look finds what is left.
            tried = List.of();
            return PollResult.NOTHING;
        }
        if (!batch.errors().isEmpty()) {
            throw new TroubleException(refused(p, batch.errors().lines()));
        }
        // Asked before: once the editor has taken it, nothing may fail any more.
        LogPosition end = lastBefore(p.epoch(), position(editor.current()));
        ChangeResult outcome = editor.apply(batch.change());
        if (!(outcome instanceof ChangeResult.Applied taken)) {
            throw new TroubleException(describe(batch.change(), outcome));
        }
        over = end;
        newest = newest == null || newest.compareTo(p) < 0 ? p : newest;
        told = null;
        return new PollResult(taken, null);
    }

    /** What {@link #over} is once this epoch serves. */
    private LogPosition lastBefore(long epoch, LogPosition at) throws IOException {
        return epoch <= at.epoch()
                ? over
                : folder.positions().stream()
                        .filter(p -> p.epoch() < epoch)
                        .reduce(at, (a, b) -> b);
    }

    /**
     * Takes a settings file that was read again. The log leads: of a file that differs from what
     * serves only one is taken whose content the log knows as a later one, or any while the log is
     * empty.
     */
    public PollResult applyFile(CatalogBuilder editor, FullSnapshotDiff file) {
        LogPosition at = position(editor.current());
        CatalogChange next = file.change(at.epoch(), at.number() + 1);
        try {
            LogPosition known = folder.locate(next.hashAfter());
            if (next.size() == 0 && (known == null || known.compareTo(at) <= 0)) {
                return PollResult.NOTHING;
            }
            if (known == null && !folder.positions().isEmpty()) {
                return new PollResult(
                        null,
                        "settings file not taken: "
                                + name
                                + " knows no change to its content, "
                                + next.hashAfter());
            }
            if (known != null && known.compareTo(at) <= 0) {
                return new PollResult(
                        null,
                        "settings file not taken: it is that of "
                                + known
                                + ", and "
                                + at
                                + " serves");
            }
            CatalogChange change =
                    known == null ? next : file.change(known.epoch(), known.number());
            LogPosition end = lastBefore(change.epoch(), at);
            ChangeResult outcome = editor.applyFullSnapshot(change);
            if (!(outcome instanceof ChangeResult.Applied taken)) {
                return new PollResult(
                        null, "settings file not taken: " + describe(change, outcome));
            }
            over = end;
            return new PollResult(taken, null);
        } catch (IOException e) {
            return new PollResult(
                    null, "settings file not taken: " + name + " can't be read: " + e);
        }
    }

    private static LogPosition position(Catalog c) {
        return new LogPosition(c.epoch(), c.number());
    }

    private static String refused(LogPosition p, List<String> faults) {
        return "change "
                + p
                + " refused: "
                + faults.get(0)
                + (faults.size() > 1 ? " (and more: 'tinroad catalog check' tells all)" : "");
    }

    private static String diverged(LogPosition p, String known) {
        return "change "
                + p
                + " belongs to another content than "
                + known
                + ", which serves: two publish with one epoch, the log was rewritten, or the"
                + " settings file is another one's";
    }

    /** What became of a change, in one line. */
    public static String describe(CatalogChange c, ChangeResult outcome) {
        LogPosition p = new LogPosition(c.epoch(), c.number());
        // No switch over patterns in Java 17.
        if (outcome instanceof ChangeResult.Rejected refused) {
            return refused(p, refused.errors());
        } else if (outcome instanceof ChangeResult.Fenced fenced) {
            return "change "
                    + p
                    + " refused: its epoch is over, "
                    + fenced.currentEpoch()
                    + " goes on";
        } else if (outcome instanceof ChangeResult.Gap gap) {
            return "change " + p + " refused: " + gap.firstMissing() + " is missing before it";
        } else if (outcome instanceof ChangeResult.Diverged diverged) {
            return diverged(p, diverged.currentHash());
        }
        return "change "
                + p
                + (outcome instanceof ChangeResult.Applied ? " taken" : " was taken before");
    }
}
