package tinroad.recovery;

import java.util.Map;
import tinroad.overload.Controller.Estimate;

/** What an earlier life of this gateway left, for the one that begins. */
public interface RestoredState {
    /**
     * A value that is used again.
     *
     * @param known faded by its age
     * @param age ms since it was last true, at the moment of its use
     * @param life that learned it
     */
    record RestoredValue(Estimate estimate, double ageMillis, long incarnation) {}

    /**
     * What may be used at {@code now}, Unix ms, of what this life would begin with otherwise,
     * {@code priors}.
     */
    Map<String, RestoredValue> restore(Map<String, Estimate> priors, double nowMillis);

    /** The life has begun, with these values: some recalled, the others assumed. */
    void started(Map<String, Estimate> values);

    /** Ids that ran or may have, with their due times in Unix ms: none may run again. */
    Map<String, Double> executedIds();

    /** Whether operators had the gateway taken off the list. */
    boolean evacuated();

    /** Epoch of the catalog of classes and tenants that was in force; 0 where none was told. */
    default long catalogEpoch() {
        return 0;
    }

    /** Its version within the epoch. */
    default long catalogNumber() {
        return 0;
    }

    /** The number of this life; 0 where nothing lasts. */
    long incarnation();

    /** How the life began, for operators. */
    String startMode();

    /**
     * Whether something was remembered and is not believed: then an engine that was up all the time
     * is watched as one that was started.
     */
    default boolean distrustsState() {
        return false;
    }

    /** A gateway of which nothing lasts. */
    RestoredState NONE =
            new RestoredState() {
                @Override
                public Map<String, RestoredValue> restore(
                        Map<String, Estimate> priors, double nowMillis) {
                    return Map.of();
                }

                @Override
                public void started(Map<String, Estimate> values) {}

                @Override
                public Map<String, Double> executedIds() {
                    return Map.of();
                }

                @Override
                public boolean evacuated() {
                    return false;
                }

                @Override
                public long incarnation() {
                    return 0;
                }

                @Override
                public String startMode() {
                    return "nothing lasts here";
                }
            };
}
