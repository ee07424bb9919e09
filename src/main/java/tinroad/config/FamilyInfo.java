package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.flag;
import static tinroad.config.JsonFields.items;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.LoadHint;

/**
 * The {@code family_info} part of the settings: properties and capabilities that all servers of one
 * kind share. An absent field has its neutral value. Times are in ms.
 */
final class FamilyInfo {
    /** Value of an enumerated field for a capability that is absent. */
    private static final String NONE = "none";

    private final ValidationErrors unknownValues;
    private final List<String> gaugeNames = new ArrayList<>();
    private final List<Boolean> classCallsDependency = new ArrayList<>();
    private final List<Double> degradedWeightShares = new ArrayList<>();
    private DependencyKind dependencyKind = DependencyKind.NONE;
    private double concurrentCallQuota;
    private double quotaWindowMillis;
    private double abandonedCallMillis;
    private LoadHint loadHint = LoadHint.NONE;
    private CancellationMode cancellationMode = CancellationMode.NONE;
    private double cores = 1;
    private double callers = 1;
    private boolean coldStart;
    private boolean requestsCarryDeadline = true;
    private double clientIdleTimeoutMillis;
    private double memoryKb;
    private double runMemoryFactor = 1;
    private double keyKb;
    private double resultReplayMillis;

    /**
     * Creates an instance in which all values are neutral.
     *
     * @param unknownValues receives one line for each enumerated value that is not known
     */
    FamilyInfo(ValidationErrors unknownValues) {
        this.unknownValues = unknownValues;
    }

    /** Reads the object at the parser's current position. */
    void read(JsonParser in) throws IOException {
        each(in, name -> field(name, in));
    }

    private void field(String name, JsonParser in) throws IOException {
        switch (name) {
            case "below" -> dependencyKind = dependencyKind(name, text(in));
            case "say" -> loadHint = loadHint(name, text(in));
            case "halt" -> cancellationMode = cancellationMode(name, text(in));
            case "meters" -> items(in, i -> gaugeNames.add(text(in)));
            case "class_calls" -> items(in, i -> classCallsDependency.add(flag(in)));
            case "degraded_worth" -> items(in, i -> degradedWeightShares.add(number(in, 0)));
            case "calls_out" -> concurrentCallQuota = number(in, 0);
            case "share_span" -> quotaWindowMillis = number(in, 0);
            case "lingers" -> abandonedCallMillis = number(in, 0);
            case "cores" -> cores = number(in, 1);
            case "callers" -> callers = number(in, 1);
            case "just_started" -> coldStart = flag(in);
            case "passes_deadline" -> requestsCarryDeadline = flag(in);
            case "idle" -> clientIdleTimeoutMillis = number(in, 0);
            case "memory_kb" -> memoryKb = number(in, 0);
            case "run_factor" -> runMemoryFactor = number(in, 1);
            case "kb_per_key" -> keyKb = number(in, 0);
            case "fresh_for" -> resultReplayMillis = number(in, 0);
            default -> {}
        }
    }

    private DependencyKind dependencyKind(String field, String value) {
        return switch (value) {
            case "common" -> DependencyKind.SHARED;
            case "next_hop" -> DependencyKind.NEXT_HOP;
            default -> noneOrUnknown(field, value, DependencyKind.NONE);
        };
    }

    private LoadHint loadHint(String field, String value) {
        return switch (value) {
            case "min_rank" -> LoadHint.MIN_RANK;
            case "tokens" -> LoadHint.TOKENS;
            case "bias" -> LoadHint.BIAS;
            default -> noneOrUnknown(field, value, LoadHint.NONE);
        };
    }

    private CancellationMode cancellationMode(String field, String value) {
        return switch (value) {
            case "drop" -> CancellationMode.DROP;
            case "pause" -> CancellationMode.PAUSE;
            default -> noneOrUnknown(field, value, CancellationMode.NONE);
        };
    }

    private <T> T noneOrUnknown(String field, String value, T none) {
        if (!value.equals(NONE)) {
            unknownValues.add(field + " is not known: '" + value + "'");
        }
        return none;
    }

    /** Whether requests of the class at this index call the dependency. */
    boolean callsDependency(int classIndex) {
        return classIndex < classCallsDependency.size() && classCallsDependency.get(classIndex);
    }

    /** The share of its weight that a reply of this class has without the dependency call. */
    double degradedWeightShare(int classIndex) {
        return classIndex < degradedWeightShares.size() ? degradedWeightShares.get(classIndex) : 0;
    }

    Dependency dependency() {
        return new Dependency(
                dependencyKind, concurrentCallQuota, quotaWindowMillis, abandonedCallMillis);
    }

    LoadHint loadHint() {
        return loadHint;
    }

    CancellationMode cancellationMode() {
        return cancellationMode;
    }

    int cores() {
        return (int) cores;
    }

    int callers() {
        return (int) callers;
    }

    boolean coldStart() {
        return coldStart;
    }

    boolean requestsCarryDeadline() {
        return requestsCarryDeadline;
    }

    double clientIdleTimeoutMillis() {
        return clientIdleTimeoutMillis;
    }

    double memoryKb() {
        return memoryKb;
    }

    double runMemoryFactor() {
        return runMemoryFactor;
    }

    double keyKb() {
        return keyKb;
    }

    double resultReplayMillis() {
        return resultReplayMillis;
    }

    List<String> gaugeNames() {
        return List.copyOf(gaugeNames);
    }
}
