package tinroad.operator;

import java.util.Collection;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** What a misspelt name may have meant. */
public final class SpellingSuggestion {
    /** A name further from a known one than this, in edits, is no misspelling of it. */
    private static final int FAR = 3;

    private SpellingSuggestion() {}

    /** The known name nearest to {@code name}, or null where none is near. */
    public static String to(String name, Collection<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(FAR);
        String nearest = null;
        // Guards short names, which are a few edits from every other.
        int least = Math.min(FAR, Math.max(1, name.length() / 2)) + 1;
        for (String candidate : known) {
            int edits = distance.apply(name, candidate);
            if (edits >= 0 && edits < least) {
                least = edits;
                nearest = candidate;
            }
        }
        return nearest;
    }
}
