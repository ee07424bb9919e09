package tinroad.operator;

import java.util.Collection;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests a known name for a misspelt one. */
public final class SpellingSuggestion {
    /** Maximum edit distance between a misspelt name and a suggestion. */
    private static final int MAX_EDITS = 3;

    private SpellingSuggestion() {}

    /** Returns the known name that is most similar to {@code name}, or null if none is similar. */
    public static String nearest(String name, Collection<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(MAX_EDITS);
        String nearest = null;
        // Short names allow fewer edits, as they are only a few edits away from every other name.
        int minEdits = Math.min(MAX_EDITS, Math.max(1, name.length() / 2)) + 1;
        for (String candidate : known) {
            int edits = distance.apply(name, candidate);
            if (edits >= 0 && edits < minEdits) {
                minEdits = edits;
                nearest = candidate;
            }
        }
        return nearest;
    }
}
