package tinroad.recovery;

import java.util.Map;
import tinroad.overload.Controller.Estimate;

/** State that earlier processes of this gateway stored, for the one that starts. */
public interface RestoredState {
    /**
     * A learned value that is used again.
     *
     * @param estimate decayed by its age
     * @param ageMillis since it was last true, at the moment of its use
     * @param incarnation of the process that learned it
     */
    record RestoredValue(Estimate estimate, double ageMillis, long incarnation) {}

    /**
     * The stored values that may be used in place of {@code priors}, by their names.
     *
     * @param priors what this process would start with otherwise
     * @param nowMillis Unix ms
     */
    Map<String, RestoredValue> restore(Map<String, Estimate> priors, double nowMillis);

    /** The process has started with these values, some of them restored. */
    void started(Map<String, Estimate> values);

    /** Ids of requests that were or may have been executed, with their deadlines in Unix ms. */
    Map<String, Double> executedIds();

    /** Whether operators had evacuated the gateway. */
    boolean evacuated();

    /** Epoch of the catalog of classes and tenants that was in force; 0 where there was none. */
    default long catalogEpoch() {
        return 0;
    }

    /** Number of the catalog within its epoch. */
    default long catalogNumber() {
        return 0;
    }

    /** Number of this process; 0 where no state is stored. */
    long incarnation();

    /** How the process started: first, warm or cold, or a text where no state is stored. */
    String startMode();

    /**
     * Whether state was stored and rejected: then an engine that was already running is watched
     * like one that was started.
     */
    default boolean distrustsState() {
        return false;
    }

    /** For a gateway that stores no state. */
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
