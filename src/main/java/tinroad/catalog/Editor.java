package tinroad.catalog;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pcollections.PMap;
import tinroad.Controller.ClassAt;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Tenant;
import tinroad.Controller.TenantAt;

/**
 * Makes one version of the catalog from the one before it, and gives out places. Used by one thread at a time, beside the
 * event loop. A place is given anew only after {@link #routeFree} or {@link #tenantFree}: the loop says so once nothing in hand names it.
 */
public final class Editor {
    private Catalog current;
    private final ArrayDeque<Integer> freeRoutes = new ArrayDeque<>();
    private final ArrayDeque<Integer> freeTenants = new ArrayDeque<>();
    private int nextRoute;
    private int nextTenant;

    /** What became of a change. */
    public sealed interface Outcome {
        /** The next version, and what it changes. */
        record Taken(Catalog next, Delta delta) implements Outcome { }

        /** Nothing of it counts; a line for each fault. */
        record Refused(List<String> faults) implements Outcome { }

        /** It was taken before: nothing changes. */
        record Repeated() implements Outcome { }

        /** Its publisher's epoch is over. */
        record Fenced(long epoch) implements Outcome { }

        /** Versions before it are missing, from this number on. */
        record Gap(long missing) implements Outcome { }
    }

    /** Begins with a catalog whose places are all taken in turn, as {@link Catalog#of} leaves them. */
    public Editor(Catalog first) {
        current = first;
        nextRoute = first.routes();
        nextTenant = first.tenants();
    }

    /** The version that was made last. */
    public Catalog current() {
        return current;
    }

    /** Nothing in hand names this place any more. */
    public void routeFree(int place) {
        freeRoutes.add(place);
    }

    /** The same of a tenant's place. */
    public void tenantFree(int place) {
        freeTenants.add(place);
    }

    /** Takes a change, or says why not. */
    public Outcome offer(Change c) {
        if (c.epoch() < current.epoch()) {
            return new Outcome.Fenced(current.epoch());
        }
        if (c.epoch() == current.epoch() && c.number() <= current.number()) {
            return new Outcome.Repeated();
        }
        if (c.epoch() == current.epoch() && c.number() > current.number() + 1) {
            return new Outcome.Gap(current.number() + 1);
        }
        PMap<String, Catalog.Route> routes = current.allRoutes();
        PMap<String, Catalog.Account> tenants = current.allTenants();
        List<ClassAt> classes = new ArrayList<>();
        List<TenantAt> quotas = new ArrayList<>();
        for (String name : c.removedRoutes()) {
            Catalog.Route gone = routes.get(name);
            if (gone != null) {
                routes = routes.minus(name);
                classes.add(new ClassAt(gone.place(), null));
            }
        }
        for (Map.Entry<String, RequestClass> e : c.putRoutes().entrySet()) {
            Catalog.Route there = routes.get(e.getKey());
            int place = there != null ? there.place() : freeRoutes.isEmpty() ? nextRoute++ : freeRoutes.remove();
            routes = routes.plus(e.getKey(), new Catalog.Route(e.getKey(), place, e.getValue()));
            classes.add(new ClassAt(place, e.getValue()));
        }
        for (String name : c.removedTenants()) {
            Catalog.Account gone = tenants.get(name);
            if (gone != null) {
                tenants = tenants.minus(name);
                quotas.add(new TenantAt(gone.place(), null));
            }
        }
        for (Map.Entry<String, Tenant> e : c.putTenants().entrySet()) {
            Catalog.Account there = tenants.get(e.getKey());
            int place = there != null ? there.place() : freeTenants.isEmpty() ? nextTenant++ : freeTenants.remove();
            tenants = tenants.plus(e.getKey(), new Catalog.Account(e.getKey(), place, e.getValue()));
            quotas.add(new TenantAt(place, e.getValue()));
        }
        current = new Catalog(c.epoch(), c.number(), routes, tenants);
        return new Outcome.Taken(current, new Delta(classes, quotas));
    }
}
