package tinroad.operator;

import java.nio.file.Path;

/**
 * What of a gateway lasts over a restart, and where.
 *
 * @param folder of this gateway alone; null: nothing lasts
 * @param fence a folder elsewhere that remembers the last life, so that an older copy of {@code
 *     folder} is told; or null
 * @param savePeriodMillis ms between two snapshots
 * @param keptSnapshots snapshots that are kept
 * @param maxAgeMillis ms, the age beyond which nothing is used
 * @param halfLifeMillis ms in which half of what was learned fades
 */
public record StateSettings(
        Path folder,
        Path fence,
        double savePeriodMillis,
        int keptSnapshots,
        double maxAgeMillis,
        double halfLifeMillis) {
    /** Nothing lasts: what holds without an operator file. */
    public static final StateSettings NONE = new StateSettings(null, null, 0, 0, 0, 0);

    /** Whether anything lasts. */
    public boolean enabled() {
        return folder != null;
    }
}
