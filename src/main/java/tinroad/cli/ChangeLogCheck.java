package tinroad.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tinroad.catalog.CatalogChange;
import tinroad.changelog.ChangeLogStore;
import tinroad.changelog.LogPosition;

/**
 * Checks each change of a log by itself, and whether it follows the one before: by its position and
 * by the hash of the content that it leads on from.
 */
final class ChangeLogCheck {
    /** The columns of {@link #rows}. */
    static final List<String> COLUMNS = List.of("change", "is", "entries", "content");

    private static final String GOOD = "good";

    private final List<List<Object>> rows = new ArrayList<>();
    private boolean good = true;
    private LogPosition previous;

    /** The content after the previous change; null where it is not known. */
    private String content;

    private ChangeLogCheck() {}

    /** Checks all changes of a log, in their order. */
    static ChangeLogCheck of(ChangeLogStore log) throws IOException {
        ChangeLogCheck check = new ChangeLogCheck();
        for (LogPosition position : log.positions()) {
            check.add(log, position);
        }
        return check;
    }

    /** A row for each change. */
    List<List<Object>> rows() {
        return rows;
    }

    /** Whether every change can be used. */
    boolean good() {
        return good;
    }

    private void add(ChangeLogStore log, LogPosition position) {
        String verdict;
        int size = 0;
        try {
            ChangeLogStore.ChangeReadResult result = log.read(position);
            size = result.change().size();
            verdict = verdict(position, result);
            content = result.change().hashAfter();
        } catch (IOException e) {
            verdict = "damaged: " + e.getMessage();
            content = null;
        }
        good &= verdict.startsWith(GOOD);
        previous = position;
        rows.add(List.of(position.toString(), verdict, size, content == null ? "" : content));
    }

    private String verdict(LogPosition position, ChangeLogStore.ChangeReadResult result) {
        CatalogChange change = result.change();
        if (!result.errors().isEmpty()) {
            return String.join("; ", result.errors().lines());
        }
        if (previous != null && !position.follows(previous)) {
            return "does not follow " + previous;
        }
        if (content == null || content.equals(change.hashBefore())) {
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
                + content;
    }
}
