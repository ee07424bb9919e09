package tinroad.operator;

import java.nio.file.Path;

/**
 * Settings for the state of a gateway that is stored over restarts.
 *
 * @param folder the folder for the state, used by this gateway alone; null if nothing is stored
 * @param fence another folder that records the latest incarnation, so that an older copy of {@code
 *     folder} is detected; or null
 * @param savePeriodMillis the time between two snapshots
 * @param keptSnapshots the number of snapshots that are retained
 * @param maxAgeMillis the age beyond which no stored state is used
 * @param halfLifeMillis the half-life of the weight of learned values
 */
public record StateSettings(
        Path folder,
        Path fence,
        double savePeriodMillis,
        int keptSnapshots,
        double maxAgeMillis,
        double halfLifeMillis) {
    /** Nothing is stored: the settings without an operator file. */
    public static final StateSettings NONE = new StateSettings(null, null, 0, 0, 0, 0);

    /** Whether state is stored. */
    public boolean enabled() {
        return folder != null;
    }
}
