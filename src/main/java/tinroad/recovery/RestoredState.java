package tinroad.recovery;

import java.util.Map;
import tinroad.overload.Controller.Estimate;

/** The state that earlier processes of this gateway stored, for the process that starts. */
public interface RestoredState {
    /**
     * A learned value that is used again.
     *
     * @param estimate the value, decayed by its age
     * @param ageMillis the time from when the value was last true to its use
     * @param incarnation the number of the process that learned it
     */
    record RestoredValue(Estimate estimate, double ageMillis, long incarnation) {}

    /**
     * Returns the stored values that may be used in place of {@code priors}, by their names.
     *
     * @param priors the values that this process would start with otherwise
     * @param nowMillis the current time in Unix ms
     */
    Map<String, RestoredValue> restore(Map<String, Estimate> priors, double nowMillis);

    /** Records that the process has started with these values, some of them restored. */
    void started(Map<String, Estimate> values);

    /**
     * Returns the ids of requests that were or may have been executed, with their deadlines in Unix
     * ms.
     */
    Map<String, Double> executedIds();

    /** Returns whether operators had evacuated the gateway. */
    boolean evacuated();

    /**
     * Returns the epoch of the catalog of classes and tenants that was in force; 0 if there was
     * none.
     */
    default long catalogEpoch() {
        return 0;
    }

    /** Returns the number of the catalog within its epoch. */
    default long catalogNumber() {
        return 0;
    }

    /** Returns the incarnation number of this process; 0 if no state is stored. */
    long incarnation();

    /**
     * Returns how the process started: first, warm or cold, or another text if no state is stored.
     */
    String startMode();

    /**
     * Returns whether state was stored and rejected. If so, an engine that was already running is
     * observed like one that was started.
     */
    default boolean stateRejected() {
        return false;
    }

    /** The state of a gateway that stores none. */
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
