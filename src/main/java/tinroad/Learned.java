package tinroad;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the module has learned of its classes and callers: all that may outlive the process. Times in ms. */
final class Learned {
    /** What the part of callers that come back weighs, whose samples are not counted. */
    private static final double UNCOUNTED = 4;
    /** So many waits are remembered for each class. */
    private static final int WAITS = 4;

    /** What is measured of a class. */
    static final class Of {
        double run;
        double calm;
        double away;
        double runs;
        double calmRuns;
        double asked;
        double served;
        final List<Patience> waits = new ArrayList<>();

        Of(double first, double weight) {
            run = first;
            calm = first;
            runs = weight;
            calmRuns = weight;
        }

        /** A new wait displaces those that are seldom seen. */
        void newWait(double wait) {
            if (waits.size() < WAITS) {
                waits.add(new Patience(wait));
                return;
            }
            waits.forEach(p -> p.votes -= 1.0 / WAITS);
            waits.removeIf(p -> p.votes <= 0);
        }
    }

    /** A wait that fresh tries of a class come with, and how sure that is. */
    static final class Patience {
        final double wait;
        double votes = 1;

        Patience(double wait) {
            this.wait = wait;
        }
    }

    final Of[] of;
    /** Part of the requests whose caller comes back while a calm server would keep its connection. */
    double returning = 1;

    /** Nothing yet: a run is assumed to take this part of its class's aim, which weighs so many samples. */
    Learned(List<Controller.RequestClass> classes, double part, double weight) {
        of = classes.stream().map(c -> new Of(part * c.aim(), weight)).toArray(Of[]::new);
    }

    /** All of it by name, each with the samples behind it: {@code run.0} is of the class at 0. */
    Map<String, Controller.Known> export() {
        Map<String, Controller.Known> all = new LinkedHashMap<>();
        for (int i = 0; i < of.length; i++) {
            all.put("run." + i, new Controller.Known(of[i].run, of[i].runs));
            all.put("calm." + i, new Controller.Known(of[i].calm, of[i].calmRuns));
        }
        all.put("returning", new Controller.Known(returning, UNCOUNTED));
        return all;
    }

    /** Begins with what an earlier life knew, on cores of this part of their speed. What no class can be is left out. */
    void restore(Map<String, Controller.Known> known, double speed) {
        for (int i = 0; i < of.length; i++) {
            Controller.Known run = known.get("run." + i);
            Controller.Known calm = known.get("calm." + i);
            if (usable(run)) {
                // Guards against another day's slowness: no more is expected than without any memory.
                of[i].run = Math.min(of[i].run, (usable(calm) ? Math.min(run.value(), calm.value()) : run.value()) / speed);
            }
        }
        Controller.Known back = known.get("returning");
        returning = usable(back) ? Math.min(1, back.value()) : returning;
    }

    private static boolean usable(Controller.Known k) {
        return k != null && k.value() > 0 && k.value() < 1e9 && k.weight() > 0;
    }
}
