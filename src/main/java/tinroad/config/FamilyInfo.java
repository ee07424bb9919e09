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
 * The settings' part {@code family_info}: what the servers of this kind are and can do. An absent
 * field has its neutral value. Times in ms.
 */
final class FamilyInfo {
    /** The word of a choice that offers nothing. */
    private static final String NONE = "none";

    private final ValidationErrors unknownWords;
    private final List<String> gaugeNames = new ArrayList<>();
    private final List<Boolean> classCallsDependency = new ArrayList<>();
    private final List<Double> degradedWeightShares = new ArrayList<>();
    private DependencyKind dependencyKind = DependencyKind.NONE;
    private double concurrentCallQuota;
    private double quotaWindowMillis;
    private double lingerMillis;
    private LoadHint loadHint = LoadHint.NONE;
    private CancellationMode cancellationMode = CancellationMode.NONE;
    private double cores = 1;
    private double callers = 1;
    private boolean coldStart;
    private boolean requestsCarryDeadline = true;
    private double clientIdleMillis;
    private double memoryKb;
    private double runMemoryFactor = 1;
    private double keyKb;
    private double resultFreshMillis;

    /**
     * All values neutral.
     *
     * @param unknownWords gets a line for each word that this program does not know
     */
    FamilyInfo(ValidationErrors unknownWords) {
        this.unknownWords = unknownWords;
    }

    /** Reads the object that the parser stands on. */
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
            case "lingers" -> lingerMillis = number(in, 0);
            case "cores" -> cores = number(in, 1);
            case "callers" -> callers = number(in, 1);
            case "just_started" -> coldStart = flag(in);
            case "passes_deadline" -> requestsCarryDeadline = flag(in);
            case "idle" -> clientIdleMillis = number(in, 0);
            case "memory_kb" -> memoryKb = number(in, 0);
            case "run_factor" -> runMemoryFactor = number(in, 1);
            case "kb_per_key" -> keyKb = number(in, 0);
            case "fresh_for" -> resultFreshMillis = number(in, 0);
            default -> {}
        }
    }

    private DependencyKind dependencyKind(String field, String word) {
        return switch (word) {
            case "common" -> DependencyKind.SHARED;
            case "next_hop" -> DependencyKind.NEXT_HOP;
            default -> noneOf(field, word, DependencyKind.NONE);
        };
    }

    private LoadHint loadHint(String field, String word) {
        return switch (word) {
            case "min_rank" -> LoadHint.MIN_RANK;
            case "tokens" -> LoadHint.TOKENS;
            case "bias" -> LoadHint.BIAS;
            default -> noneOf(field, word, LoadHint.NONE);
        };
    }

    private CancellationMode cancellationMode(String field, String word) {
        return switch (word) {
            case "drop" -> CancellationMode.DROP;
            case "pause" -> CancellationMode.PAUSE;
            default -> noneOf(field, word, CancellationMode.NONE);
        };
    }

    private <T> T noneOf(String field, String word, T none) {
        if (!word.equals(NONE)) {
            unknownWords.add(field + " is not known: '" + word + "'");
        }
        return none;
    }

    /** Whether requests of the class at this index call the dependency. */
    boolean callsDependency(int classIndex) {
        return classIndex < classCallsDependency.size() && classCallsDependency.get(classIndex);
    }

    /** The share of its weight that an answer of this class has without the dependency's call. */
    double degradedWeightShare(int classIndex) {
        return classIndex < degradedWeightShares.size() ? degradedWeightShares.get(classIndex) : 0;
    }

    Dependency dependency() {
        return new Dependency(dependencyKind, concurrentCallQuota, quotaWindowMillis, lingerMillis);
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

    double clientIdleMillis() {
        return clientIdleMillis;
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

    double resultFreshMillis() {
        return resultFreshMillis;
    }

    List<String> gaugeNames() {
        return List.copyOf(gaugeNames);
    }
}
