package tinroad.core;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import tinroad.overload.Controller.Estimate;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/**
 * Manages what this incarnation starts with from earlier ones, what it has learned since, and how
 * far its recovery has come. Outside of the controller, learned values are named by class. All
 * methods must be called on the event loop.
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

    private RecoveryPhaseTracker newTracker(boolean stateRejected) {
        return new RecoveryPhaseTracker(
                clock.nowMillis(), cores, catalog.expectedRunMillis(), stateRejected);
    }

    void restoreFrom(RestoredState earlier) {
        restoredState = earlier;
        recoveryPhase = newTracker(earlier.stateRejected());
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

    /**
     * Returns what the controller has learned, by stored name; empty before the controller was
     * started.
     */
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
     * Passes the usable part of the earlier statistics to the controller, which was just started.
     */
    void restoreController(boolean coldEngine) {
        if (restoredState == RestoredState.NONE) {
            return;
        }
        restoredValues = restoredState.restore(learnedEstimates(), clock.nowMillis());
        Map<String, Estimate> restoredEstimates = new LinkedHashMap<>();
        driver.controller().learnedEstimates().keySet().stream()
                .filter(learnedName -> restoredValues.containsKey(catalog.storedName(learnedName)))
                .forEach(
                        learnedName ->
                                restoredEstimates.put(
                                        learnedName,
                                        restoredValues
                                                .get(catalog.storedName(learnedName))
                                                .estimate()));
        if (!restoredEstimates.isEmpty()) {
            driver.controller().restore(restoredEstimates, coldEngine);
            restoredValues.forEach(
                    (storedName, restored) ->
                            log.debug(
                                    "restored: {} = {}, of incarnation {}, {} s old",
                                    storedName,
                                    restored.estimate().value(),
                                    restored.incarnation(),
                                    Math.round(restored.ageMillis() / 1000)));
        }
        restoredState.started(learnedEstimates());
    }
}
