package tinroad.changelog;

import java.util.List;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.catalog.CatalogChange;

/**
 * Describes the result of applying a change in one line for operators. Commands print these lines
 * and the admin endpoint shows them, so their wording is an interface.
 */
public final class ChangeDescription {
    private ChangeDescription() {}

    /** Returns the line for a change and its result. */
    public static String of(CatalogChange change, ChangeResult result) {
        LogPosition position = new LogPosition(change.epoch(), change.number());
        // Java 17 has no switch over patterns.
        if (result instanceof ChangeResult.Rejected rejected) {
            return rejected(position, rejected.errors());
        } else if (result instanceof ChangeResult.Fenced fenced) {
            return "change "
                    + position
                    + " refused: its epoch is over, "
                    + fenced.currentEpoch()
                    + " goes on";
        } else if (result instanceof ChangeResult.Gap gap) {
            return "change "
                    + position
                    + " refused: "
                    + gap.firstMissing()
                    + " is missing before it";
        } else if (result instanceof ChangeResult.Diverged diverged) {
            return diverged(position, diverged.currentHash());
        }
        return "change "
                + position
                + (result instanceof ChangeResult.Applied ? " taken" : " was taken before");
    }

    static String rejected(LogPosition position, List<String> errors) {
        return "change "
                + position
                + " refused: "
                + errors.get(0)
                + (errors.size() > 1 ? " (and more: 'tinroad catalog check' tells all)" : "");
    }

    static String diverged(LogPosition position, String currentHash) {
        return "change "
                + position
                + " belongs to another content than "
                + currentHash
                + ", which serves: two publish with one epoch, the log was rewritten, or the"
                + " settings file is another one's";
    }
}
