package tinroad.overload;

import java.util.List;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.ObjectiveWeights;
import tinroad.overload.Controller.OperatingLimits;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/**
 * A controller on two cores with two tenants and three classes of requests: idempotent, idempotent
 * with a key, and non-idempotent. Its actions are recorded.
 */
final class Fixture {
    static final int IDEMPOTENT_CLASS = 0;
    static final int KEYED_CLASS = 1;
    static final int NON_IDEMPOTENT_CLASS = 2;
    static final Gauges CALM_GAUGES = new Gauges(0.3, 2, 0.1, 50);

    final Recorder recorder = new Recorder();
    final Controller controller = new OverloadController(recorder);
    double nowMillis = 1000;

    // Settings that a test may change before begin().
    LoadHint loadHint = LoadHint.NONE;
    CancellationMode cancellationMode = CancellationMode.PAUSE;
    boolean coldStart;
    double clientIdleTimeoutMillis = 30000;
    boolean requestsMarkRetries = true;
    boolean requestsCarryDeadline = true;
    boolean weightByWork;
    double memoryKb = 10000;
    double resultReplayMillis;
    Dependency dependency = new Dependency(DependencyKind.NONE, 0, 0, 0);
    double degradedWeightShare;
    double coldStartSpeedShare = 0.25;
    List<Tenant> tenants = List.of(new Tenant(100, 0.5), new Tenant(100, 0.5));

    Fixture begin() {
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                1000,
                                0,
                                4000,
                                1,
                                0,
                                Idempotency.IDEMPOTENT,
                                0,
                                true,
                                degradedWeightShare),
                        new RequestClass(
                                1000,
                                0,
                                4000,
                                2,
                                0.2,
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                9000,
                                true,
                                degradedWeightShare),
                        new RequestClass(
                                1000,
                                0,
                                4000,
                                2,
                                0,
                                Idempotency.NON_IDEMPOTENT,
                                0,
                                true,
                                degradedWeightShare));
        controller.start(
                nowMillis,
                7,
                new Settings(
                        classes,
                        tenants,
                        new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                        new OperatingLimits(60, coldStartSpeedShare, 10000, 2000, 5, 1500),
                        dependency,
                        loadHint,
                        cancellationMode,
                        2,
                        4,
                        3,
                        coldStart,
                        requestsCarryDeadline,
                        clientIdleTimeoutMillis,
                        memoryKb,
                        4,
                        20,
                        resultReplayMillis,
                        1000,
                        true,
                        requestsMarkRetries,
                        0.1,
                        5,
                        weightByWork));
        return this;
    }

    void request(String id, int classSlot) {
        request(id, classSlot, null);
    }

    void request(String id, int classSlot, String duplicateOf) {
        request(id, classSlot, 0, 0.9, duplicateOf, 0, false);
    }

    void requestBy(String id, int caller) {
        requestBy(id, caller, 0);
    }

    void requestBy(String id, int caller, double ageMillis) {
        controller.requestArrived(
                nowMillis,
                new Request(
                        id,
                        IDEMPOTENT_CLASS,
                        0,
                        caller,
                        20,
                        nowMillis - ageMillis + 4000,
                        ageMillis,
                        0.9,
                        0,
                        null,
                        null,
                        false,
                        false));
    }

    void requestOfWork(String id, double workMillis) {
        controller.requestArrived(
                nowMillis,
                new Request(
                        id,
                        IDEMPOTENT_CLASS,
                        0,
                        1,
                        20,
                        nowMillis + 4000,
                        0,
                        0.9,
                        workMillis,
                        null,
                        null,
                        false,
                        false));
    }

    void request(
            String id,
            int classSlot,
            int tenantSlot,
            double priority,
            String duplicateOf,
            double ageMillis,
            boolean retry) {
        double deadlineAtMillis = requestsCarryDeadline ? nowMillis - ageMillis + 4000 : 0;
        controller.requestArrived(
                nowMillis,
                new Request(
                        id,
                        classSlot,
                        tenantSlot,
                        1,
                        20,
                        deadlineAtMillis,
                        ageMillis,
                        priority,
                        0,
                        "k" + id,
                        duplicateOf,
                        retry,
                        classSlot != IDEMPOTENT_CLASS));
    }

    void complete(String id, Outcome outcome) {
        controller.completed(nowMillis, id, 100, outcome);
    }

    /**
     * Serves {@code count} requests of a class one at a time, each in {@code millis}, which sets
     * the calm baseline of the class.
     */
    void serveCalmly(String prefix, int classSlot, int count, double millis) {
        for (int i = 0; i < count; i++) {
            request(prefix + i, classSlot);
            advance(millis);
            complete(prefix + i, Outcome.OK);
        }
    }

    /** Advances time by {@code millis} with calm gauges, with a tick whenever the timer is due. */
    void advance(double millis) {
        advance(millis, CALM_GAUGES);
    }

    void advance(double millis, Gauges gauges) {
        double endMillis = nowMillis + millis;
        while (nowMillis + 20 <= endMillis) {
            nowMillis += 20;
            controller.timerFired(nowMillis, "tick", gauges);
        }
        nowMillis = endMillis;
    }
}
