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
 * Follows a change log, applying one change at a time and in order. If the log can't be followed,
 * the catalog in use stays, and one line says why; it is reported again only when it changes. A
 * poll without news costs two system calls: it checks the file name of the next change, and whether
 * the folder has changed. The folder is listed only if it has, and occasionally in any case. Used
 * by one thread, which also owns the builder. The methods block.
 */
public final class ChangeLogFollower {
    private final ChangeLogStore store;
    private final String logName;
    private final PollMemory pollMemory = new PollMemory();

    /**
     * The last position that an earlier incarnation had applied: the log must not end before it.
     * Null once that was checked, or if it is unknown.
     */
    private LogPosition lastKnownPosition;

    /** The last position of earlier epochs that was in the log when the current epoch began. */
    private LogPosition endOfEarlierEpochs;

    private LogPosition newest;
    private String lastProblem;

    /**
     * Creates a follower of the log in {@code store}; lines for operators call it {@code logName}.
     *
     * @param lastKnownPosition the last position that an earlier incarnation had applied; null if
     *     unknown
     */
    public ChangeLogFollower(ChangeLogStore store, String logName, LogPosition lastKnownPosition) {
        this.store = store;
        this.logName = logName;
        this.lastKnownPosition = lastKnownPosition;
    }

    /**
     * The result of one poll. Both fields are empty if there was nothing new.
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
     * Returns the catalog with the version that its content has in the log. Returns it unchanged if
     * the log does not contain its content, or can't be read.
     */
    public Catalog locate(Catalog catalog) {
        try {
            return store.locate(catalog.contentHash())
                    .map(position -> catalog.withVersion(position.epoch(), position.number()))
                    .orElse(catalog);
        } catch (IOException e) {
            // The first poll reports this.
            return catalog;
        }
    }

    /** The newest change seen in the log, if any. */
    public Optional<LogPosition> newest() {
        return Optional.ofNullable(newest);
    }

    /** Why the log can't be followed; empty if it can. */
    public Optional<String> lastProblem() {
        return Optional.ofNullable(lastProblem);
    }

    /** Applies the next change to the builder, if there is one and it can be applied. */
    public PollResult poll(CatalogBuilder builder) {
        pollMemory.pollStarted();
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
        if (line.equals(lastProblem)) {
            return PollResult.NOTHING;
        }
        lastProblem = line;
        return PollResult.line(line);
    }

    private PollResult applyNext(CatalogBuilder builder) throws IOException, ChangeLogException {
        LogPosition current = positionOf(builder.current());
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
        return pollMemory.shouldList(store.stamp(), current)
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
                // A listing may miss a file that is created meanwhile, but contain a later one.
                Optional<FileStamp> next = store.stamp(current.next());
                if (next.isPresent()) {
                    return apply(builder, current.next(), next);
                }
                throw new ChangeLogException.Missing(logName, current.next(), following.get());
            }
            return apply(builder, following.get(), store.stamp(following.get()));
        }
        checkUnchanged(builder.current(), current, positions);
        lastKnownPosition = null;
        if (lastProblem != null) {
            lastProblem = null;
            return PollResult.line(logName + " is followed again from " + current);
        }
        return PollResult.NOTHING;
    }

    /** Checks a log without a later change: it has to be the log whose changes were applied. */
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
                lastKnownPosition != null && lastKnownPosition.compareTo(current) > 0
                        ? lastKnownPosition
                        : current;
        if (applied.epoch() > 0 && (newest == null || newest.compareTo(applied) < 0)) {
            throw new ChangeLogException.RolledBack(logName, applied, Optional.ofNullable(newest));
        }
    }

    /**
     * Returns the first change of a higher epoch that follows the content in use. Called if the
     * next change of the current epoch can't be applied.
     */
    private Optional<LogPosition> findHigherEpoch(Catalog catalog) throws IOException {
        for (LogPosition position : store.positions()) {
            if (position.epoch() > catalog.epoch() && position.number() == 1) {
                try {
                    if (catalog.contentHash().equals(store.readHashes(position).hashBefore())) {
                        return Optional.of(position);
                    }
                } catch (CorruptChangeException e) {
                    // A corrupt change is not the one that is looked for.
                }
            }
        }
        return Optional.empty();
    }

    private PollResult apply(
            CatalogBuilder builder, LogPosition position, Optional<FileStamp> stamp)
            throws IOException, ChangeLogException {
        if (!pollMemory.shouldAttempt(position, stamp, builder.current().contentHash())) {
            return PollResult.NOTHING;
        }
        ChangeLogStore.ChangeReadResult read;
        try {
            read = store.read(position);
        } catch (CorruptChangeException e) {
            throw new ChangeLogException.Corrupt(logName, position, e);
        } catch (NoSuchFileException e) {
            // The file was pruned meanwhile; the next poll finds the changes that are left.
            pollMemory.forgetAttempt();
            return PollResult.NOTHING;
        }
        if (!read.errors().isEmpty()) {
            throw new ChangeLogException.Rejected(position, read.errors().lines());
        }
        // Read first: once the builder has applied the change, nothing may fail any more.
        LogPosition endBefore = endOfEpochsBefore(position.epoch(), positionOf(builder.current()));
        ChangeResult result = builder.apply(read.change());
        if (!(result instanceof ChangeResult.Applied applied)) {
            throw new ChangeLogException.Rejected(
                    position, ChangeDescription.of(read.change(), result));
        }
        endOfEarlierEpochs = endBefore;
        newest = newest == null || newest.compareTo(position) < 0 ? position : newest;
        lastProblem = null;
        return PollResult.applied(applied);
    }

    /**
     * Returns the value that {@link #endOfEarlierEpochs} has once this epoch is in use, or null if
     * it is unknown.
     */
    private LogPosition endOfEpochsBefore(long epoch, LogPosition current) throws IOException {
        return epoch <= current.epoch()
                ? endOfEarlierEpochs
                : store.positions().stream()
                        .filter(position -> position.epoch() < epoch)
                        .reduce(current, (earlier, later) -> later);
    }

    /**
     * Applies a settings file that was read again. The log takes precedence: a file that differs
     * from the catalog in use is applied only if the log contains its content as a later version,
     * or while the log is empty.
     */
    public PollResult applyFile(CatalogBuilder builder, FullSnapshotDiff file) {
        LogPosition current = positionOf(builder.current());
        CatalogChange nextChange = file.change(current.epoch(), current.number() + 1);
        try {
            Optional<LogPosition> located = store.locate(nextChange.hashAfter());
            boolean later = located.filter(found -> found.compareTo(current) > 0).isPresent();
            if (nextChange.size() == 0 && !later) {
                return PollResult.NOTHING;
            }
            if (located.isEmpty() && !store.positions().isEmpty()) {
                return fileRejected(
                        logName + " knows no change to its content, " + nextChange.hashAfter());
            }
            if (located.isPresent() && !later) {
                return fileRejected(
                        "it is that of " + located.get() + ", and " + current + " serves");
            }
            CatalogChange change =
                    located.map(found -> file.change(found.epoch(), found.number()))
                            .orElse(nextChange);
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

    private static LogPosition positionOf(Catalog catalog) {
        return new LogPosition(catalog.epoch(), catalog.number());
    }
}
