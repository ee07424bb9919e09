package tinroad.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tinroad.catalog.CatalogChange;
import tinroad.changelog.ChangeLogStore;
import tinroad.changelog.LogPosition;

/**
 * Checks each change of a change log by itself, and whether it follows the previous change: by its
 * position, and by the hash of the content that it applies to.
 */
final class ChangeLogCheck {
    /** The columns of {@link #rows}. */
    static final List<String> COLUMNS = List.of("change", "is", "entries", "content");

    private static final String GOOD = "good";

    private final List<List<Object>> rows = new ArrayList<>();
    private boolean allGood = true;
    private LogPosition previous;

    /** Hash of the content after the last change read; null if it is not known. */
    private String contentHash;

    private ChangeLogCheck() {}

    /** Checks all changes of a log, in their order. */
    static ChangeLogCheck of(ChangeLogStore log) throws IOException {
        ChangeLogCheck check = new ChangeLogCheck();
        for (LogPosition position : log.positions()) {
            check.add(log, position);
        }
        return check;
    }

    /** Returns one row for each change. */
    List<List<Object>> rows() {
        return rows;
    }

    /** Whether every change can be used. */
    boolean allGood() {
        return allGood;
    }

    private void add(ChangeLogStore log, LogPosition position) {
        String verdict;
        int size = 0;
        try {
            ChangeLogStore.ChangeReadResult result = log.read(position);
            size = result.change().size();
            verdict = verdict(position, result);
            contentHash = result.change().hashAfter();
        } catch (IOException e) {
            verdict = "damaged: " + e.getMessage();
            contentHash = null;
        }
        allGood &= verdict.startsWith(GOOD);
        previous = position;
        rows.add(
                List.of(
                        position.toString(),
                        verdict,
                        size,
                        contentHash == null ? "" : contentHash));
    }

    private String verdict(LogPosition position, ChangeLogStore.ChangeReadResult result) {
        CatalogChange change = result.change();
        if (!result.errors().isEmpty()) {
            return String.join("; ", result.errors().lines());
        }
        if (previous != null && !position.follows(previous)) {
            return "does not follow " + previous;
        }
        if (contentHash == null || contentHash.equals(change.hashBefore())) {
            return GOOD;
        }
        if (position.epoch() > previous.epoch()) {
            return GOOD + ", from another content: " + change.hashBefore();
        }
        return "leads on from content "
                + change.hashBefore()
                + ", and "
                + previous
                + " led to "
                + contentHash;
    }
}
