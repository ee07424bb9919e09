package tinroad.core;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import tinroad.overload.Controller.Estimate;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/**
 * What this incarnation starts with from earlier ones, what it has learned since, and how far its
 * recovery has come. Learned values are named by class outside the controller. Owned by the event
 * loop.
 */
final class WarmStart {
    private final ActiveCatalog catalog;
    private final ControllerDriver driver;
    private final Clock clock;
    private final int cores;
    private final Logger log;
    private RecoveryPhaseTracker recoveryPhase;
    private RestoredState restoredState = RestoredState.NONE;
    private Map<String, RestoredState.RestoredValue> restoredValues = Map.of();

    WarmStart(ActiveCatalog catalog, ControllerDriver driver, Clock clock, int cores, Logger log) {
        this.catalog = catalog;
        this.driver = driver;
        this.clock = clock;
        this.cores = cores;
        this.log = log;
        recoveryPhase = newTracker(false);
    }

    private RecoveryPhaseTracker newTracker(boolean distrustsState) {
        return new RecoveryPhaseTracker(
                clock.nowMillis(), cores, catalog.expectedRunMillis(), distrustsState);
    }

    void restoreFrom(RestoredState earlier) {
        restoredState = earlier;
        recoveryPhase = newTracker(earlier.distrustsState());
    }

    RecoveryPhaseTracker recoveryPhase() {
        return recoveryPhase;
    }

    RestoredState restoredState() {
        return restoredState;
    }

    Map<String, RestoredState.RestoredValue> restoredValues() {
        return restoredValues;
    }

    /** What the controller has learned, by stored name; empty before it was started. */
    Map<String, Estimate> learnedEstimates() {
        Map<String, Estimate> byStoredName = new LinkedHashMap<>();
        if (driver.isStarted()) {
            driver.controller()
                    .learnedEstimates()
                    .forEach(
                            (learnedName, estimate) -> {
                                String storedName = catalog.storedName(learnedName);
                                if (storedName != null) {
                                    byStoredName.put(storedName, estimate);
                                }
                            });
        }
        return byStoredName;
    }

    /**
     * Hands the controller, which has just been started, what may be used of earlier statistics.
     */
    void restoreController(boolean coldEngine) {
        if (restoredState == RestoredState.NONE) {
            return;
        }
        restoredValues = restoredState.restore(learnedEstimates(), clock.nowMillis());
        Map<String, Estimate> known = new LinkedHashMap<>();
        driver.controller().learnedEstimates().keySet().stream()
                .filter(name -> restoredValues.containsKey(catalog.storedName(name)))
                .forEach(
                        name ->
                                known.put(
                                        name,
                                        restoredValues.get(catalog.storedName(name)).estimate()));
        if (!known.isEmpty()) {
            driver.controller().restore(known, coldEngine);
            restoredValues.forEach(
                    (name, restored) ->
                            log.debug(
                                    "restored: {} = {}, of incarnation {}, {} s old",
                                    name,
                                    restored.estimate().value(),
                                    restored.incarnation(),
                                    Math.round(restored.ageMillis() / 1000)));
        }
        restoredState.started(learnedEstimates());
    }
}
