package tinroad.changelog;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Optional;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.FullSnapshotDiff;

/**
 * Follows a change log, a change at a time and in order. Where the log can't be followed, the
 * catalog in use stays, and one line says why, once until it changes. A poll that finds nothing
 * costs two system calls: the next name, and whether the folder changed; names are listed only
 * then, and now and again all the same. Used by one thread, which owns the builder, too; blocks.
 */
public final class ChangeLogFollower {
    private final ChangeLogStore store;
    private final String logName;
    private final PollMemory memory = new PollMemory();

    /**
     * What an earlier incarnation had applied, null once it was found: the log may not end before.
     */
    private LogPosition expected;

    /** The last position of earlier epochs that was there when the current epoch began. */
    private LogPosition endOfEarlierEpochs;

    private LogPosition newest;
    private String problem;

    /**
     * Follows the log in {@code store}, which lines call {@code logName}.
     *
     * @param expected the last position that an earlier incarnation had applied; null: not known
     */
    public ChangeLogFollower(ChangeLogStore store, String logName, LogPosition expected) {
        this.store = store;
        this.logName = logName;
        this.expected = expected;
    }

    /**
     * What one poll led to; both empty: nothing new.
     *
     * @param logLine a line for the operators' log
     */
    public record PollResult(Optional<ChangeResult.Applied> applied, Optional<String> logLine) {
        static final PollResult NOTHING = new PollResult(Optional.empty(), Optional.empty());

        static PollResult applied(ChangeResult.Applied change) {
            return new PollResult(Optional.of(change), Optional.empty());
        }

        static PollResult line(String line) {
            return new PollResult(Optional.empty(), Optional.of(line));
        }
    }

    /**
     * The same content as the version of the log that it is; unchanged where the log does not know
     * it, or can't be read.
     */
    public Catalog locate(Catalog catalog) {
        try {
            return store.locate(catalog.contentHash())
                    .map(position -> catalog.withVersion(position.epoch(), position.number()))
                    .orElse(catalog);
        } catch (IOException e) {
            // The first poll says so.
            return catalog;
        }
    }

    /** The newest change that the log was seen to hold, if any was seen. */
    public Optional<LogPosition> newest() {
        return Optional.ofNullable(newest);
    }

    /** Why the log can't be followed; empty where it can. */
    public Optional<String> lastProblem() {
        return Optional.ofNullable(problem);
    }

    /** Applies the next change to the builder, if it is there and can be applied. */
    public PollResult poll(CatalogBuilder builder) {
        memory.pollStarted();
        try {
            return applyNext(builder);
        } catch (ChangeLogException e) {
            return report(e.getMessage());
        } catch (NoSuchFileException e) {
            return report(logName + " is not there");
        } catch (IOException e) {
            return report(logName + " can't be read: " + e);
        }
    }

    private PollResult report(String line) {
        if (line.equals(problem)) {
            return PollResult.NOTHING;
        }
        problem = line;
        return PollResult.line(line);
    }

    private PollResult applyNext(CatalogBuilder builder) throws IOException, ChangeLogException {
        LogPosition current = position(builder.current());
        LogPosition next = current.next();
        Optional<FileStamp> stamp = store.stamp(next);
        if (stamp.isPresent()) {
            try {
                return apply(builder, next, stamp);
            } catch (ChangeLogException e) {
                LogPosition higherEpoch = findHigherEpoch(builder.current()).orElseThrow(() -> e);
                return apply(builder, higherEpoch, store.stamp(higherEpoch));
            }
        }
        return memory.shouldList(store.stamp(), current)
                ? applyFromListing(builder, current)
                : PollResult.NOTHING;
    }

    private PollResult applyFromListing(CatalogBuilder builder, LogPosition current)
            throws IOException, ChangeLogException {
        List<LogPosition> positions = store.positions();
        newest = positions.isEmpty() ? null : positions.get(positions.size() - 1);
        Optional<LogPosition> following =
                positions.stream().filter(position -> position.compareTo(current) > 0).findFirst();
        if (following.isPresent()) {
            if (!following.get().follows(current)) {
                // A listing may miss a file that is created meanwhile, and show a later one.
                Optional<FileStamp> next = store.stamp(current.next());
                if (next.isPresent()) {
                    return apply(builder, current.next(), next);
                }
                throw new ChangeLogException.Missing(logName, current.next(), following.get());
            }
            return apply(builder, following.get(), store.stamp(following.get()));
        }
        checkUnchanged(builder.current(), current, positions);
        expected = null;
        if (problem != null) {
            problem = null;
            return PollResult.line(logName + " is followed again from " + current);
        }
        return PollResult.NOTHING;
    }

    /** Checks a log without a later change: it has to be the one that was applied. */
    private void checkUnchanged(Catalog catalog, LogPosition current, List<LogPosition> positions)
            throws IOException, ChangeLogException {
        if (positions.contains(current)
                && !catalog.contentHash().equals(store.readHashes(current).hashAfter())) {
            throw new ChangeLogException.Diverged(current, catalog.contentHash());
        }
        for (LogPosition position : positions) {
            if (endOfEarlierEpochs != null
                    && position.epoch() < current.epoch()
                    && position.compareTo(endOfEarlierEpochs) > 0) {
                throw new ChangeLogException.EpochOver(logName, position, current.epoch());
            }
        }
        LogPosition applied =
                expected != null && expected.compareTo(current) > 0 ? expected : current;
        if (applied.epoch() > 0 && (newest == null || newest.compareTo(applied) < 0)) {
            throw new ChangeLogException.RolledBack(logName, applied, Optional.ofNullable(newest));
        }
    }

    /**
     * The first change of a higher epoch that follows the content in use, for where the next change
     * of the current epoch can't be applied.
     */
    private Optional<LogPosition> findHigherEpoch(Catalog catalog) throws IOException {
        for (LogPosition position : store.positions()) {
            if (position.epoch() > catalog.epoch() && position.number() == 1) {
                try {
                    if (catalog.contentHash().equals(store.readHashes(position).hashBefore())) {
                        return Optional.of(position);
                    }
                } catch (CorruptChangeException e) {
                    // Not this one, then.
                }
            }
        }
        return Optional.empty();
    }

    private PollResult apply(
            CatalogBuilder builder, LogPosition position, Optional<FileStamp> stamp)
            throws IOException, ChangeLogException {
        if (!memory.shouldAttempt(position, stamp, builder.current().contentHash())) {
            return PollResult.NOTHING;
        }
        ChangeLogStore.ChangeReadResult read;
        try {
            read = store.read(position);
        } catch (CorruptChangeException e) {
            throw new ChangeLogException.Corrupt(logName, position, e);
        } catch (NoSuchFileException e) {
            // Pruned in this moment; the next poll finds what is left.
            memory.forgetAttempt();
            return PollResult.NOTHING;
        }
        if (!read.errors().isEmpty()) {
            throw new ChangeLogException.Rejected(position, read.errors().lines());
        }
        // Read before: once the builder has applied the change, nothing may fail any more.
        LogPosition endBefore = endOfEpochsBefore(position.epoch(), position(builder.current()));
        ChangeResult result = builder.apply(read.change());
        if (!(result instanceof ChangeResult.Applied applied)) {
            throw new ChangeLogException.Rejected(
                    position, ChangeDescription.of(read.change(), result));
        }
        endOfEarlierEpochs = endBefore;
        newest = newest == null || newest.compareTo(position) < 0 ? position : newest;
        problem = null;
        return PollResult.applied(applied);
    }

    /** What {@link #endOfEarlierEpochs} is once this epoch is in use; null: not known. */
    private LogPosition endOfEpochsBefore(long epoch, LogPosition current) throws IOException {
        return epoch <= current.epoch()
                ? endOfEarlierEpochs
                : store.positions().stream()
                        .filter(position -> position.epoch() < epoch)
                        .reduce(current, (earlier, later) -> later);
    }

    /**
     * Applies a settings file that was read again. The log leads: a file that differs from the
     * catalog in use is applied only if the log knows its content as a later version, or while the
     * log is empty.
     */
    public PollResult applyFile(CatalogBuilder builder, FullSnapshotDiff file) {
        LogPosition current = position(builder.current());
        CatalogChange asNext = file.change(current.epoch(), current.number() + 1);
        try {
            Optional<LogPosition> known = store.locate(asNext.hashAfter());
            boolean later = known.filter(found -> found.compareTo(current) > 0).isPresent();
            if (asNext.size() == 0 && !later) {
                return PollResult.NOTHING;
            }
            if (known.isEmpty() && !store.positions().isEmpty()) {
                return fileRejected(
                        logName + " knows no change to its content, " + asNext.hashAfter());
            }
            if (known.isPresent() && !later) {
                return fileRejected(
                        "it is that of " + known.get() + ", and " + current + " serves");
            }
            CatalogChange change =
                    known.map(found -> file.change(found.epoch(), found.number())).orElse(asNext);
            LogPosition endBefore = endOfEpochsBefore(change.epoch(), current);
            ChangeResult result = builder.applyFullSnapshot(change);
            if (!(result instanceof ChangeResult.Applied applied)) {
                return fileRejected(ChangeDescription.of(change, result));
            }
            endOfEarlierEpochs = endBefore;
            return PollResult.applied(applied);
        } catch (IOException e) {
            return fileRejected(logName + " can't be read: " + e);
        }
    }

    private static PollResult fileRejected(String reason) {
        return PollResult.line("settings file not taken: " + reason);
    }

    private static LogPosition position(Catalog catalog) {
        return new LogPosition(catalog.epoch(), catalog.number());
    }
}
