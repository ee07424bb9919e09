package tinroad.overload;

import java.util.List;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.ObjectiveWeights;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Rules;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/**
 * One controller on two cores with three classes: free, guarded and single-shot, and two tenants.
 */
final class Fixture {
    static final int FREE = 0;
    static final int GUARDED = 1;
    static final int ONCE = 2;
    static final Gauges CALM = new Gauges(0.3, 2, 0.1, 50);

    final Recorder recorder = new Recorder();
    final Controller controller = new OverloadController(recorder);
    double now = 1000;

    // settings that a test may change before begin()
    LoadHint say = LoadHint.NONE;
    CancellationMode halt = CancellationMode.PAUSE;
    boolean cold;
    double callersIdle = 30000;
    boolean marksRetry = true;
    boolean passesDeadline = true;
    boolean worthByWork;
    double memoryKb = 10000;
    double freshFor;
    Dependency below = new Dependency(DependencyKind.NONE, 0, 0, 0);
    double skipWorth;
    double coldFrom = 0.25;
    List<Tenant> tenants = List.of(new Tenant(100, 0.5), new Tenant(100, 0.5));

    Fixture begin() {
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                1000, 0, 4000, 1, 0, Idempotency.IDEMPOTENT, 0, true, skipWorth),
                        new RequestClass(
                                1000,
                                0,
                                4000,
                                2,
                                0.2,
                                Idempotency.IDEMPOTENT_WITH_KEY,
                                9000,
                                true,
                                skipWorth),
                        new RequestClass(
                                1000,
                                0,
                                4000,
                                2,
                                0,
                                Idempotency.NON_IDEMPOTENT,
                                0,
                                true,
                                skipWorth));
        controller.start(
                now,
                7,
                new Settings(
                        classes,
                        tenants,
                        new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                        new Rules(60, coldFrom, 10000, 2000, 5, 1500),
                        below,
                        say,
                        halt,
                        2,
                        4,
                        3,
                        cold,
                        passesDeadline,
                        callersIdle,
                        memoryKb,
                        4,
                        20,
                        freshFor,
                        1000,
                        true,
                        marksRetry,
                        0.1,
                        5,
                        worthByWork));
        return this;
    }

    void request(String id, int cls) {
        request(id, cls, null);
    }

    void request(String id, int cls, String repeats) {
        request(id, cls, 0, 0.9, repeats, 0, false);
    }

    void requestBy(String id, int caller) {
        requestBy(id, caller, 0);
    }

    void requestBy(String id, int caller, double age) {
        controller.requestArrived(
                now,
                new Request(
                        id,
                        FREE,
                        0,
                        caller,
                        20,
                        now - age + 4000,
                        age,
                        0.9,
                        0,
                        null,
                        null,
                        false,
                        false));
    }

    void requestOfWork(String id, double work) {
        controller.requestArrived(
                now,
                new Request(
                        id, FREE, 0, 1, 20, now + 4000, 0, 0.9, work, null, null, false, false));
    }

    void request(
            String id,
            int cls,
            int tenant,
            double rank,
            String repeats,
            double age,
            boolean resent) {
        double due = passesDeadline ? now - age + 4000 : 0;
        controller.requestArrived(
                now,
                new Request(
                        id,
                        cls,
                        tenant,
                        1,
                        20,
                        due,
                        age,
                        rank,
                        0,
                        "k" + id,
                        repeats,
                        resent,
                        cls != FREE));
    }

    void ended(String id, Outcome outcome) {
        controller.completed(now, id, 100, outcome);
    }

    /** Serves so many requests of a class alone, each in so many ms: the class's calm baseline. */
    void serveCalmly(String prefix, int cls, int count, double ms) {
        for (int i = 0; i < count; i++) {
            request(prefix + i, cls);
            after(ms);
            ended(prefix + i, Outcome.OK);
        }
    }

    /** Lets time pass with ticks as the timer asked for them, under calm gauges. */
    void after(double ms) {
        after(ms, CALM);
    }

    void after(double ms, Gauges gauges) {
        double end = now + ms;
        while (now + 20 <= end) {
            now += 20;
            controller.timerFired(now, "tick", gauges);
        }
        now = end;
    }
}
