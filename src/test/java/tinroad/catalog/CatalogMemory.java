package tinroad.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * What a catalog costs: {@code CatalogMemory TENANTS ROUTES} from the command line prints heap by
 * entry, and times.
 */
public final class CatalogMemory {
    private static final int DIFFERENT = 100;

    private CatalogMemory() {}

    /** Prints a line for each figure. */
    public static void main(String[] args) {
        int tenants = Integer.parseInt(args[0]);
        int routes = Integer.parseInt(args[1]);
        List<String> tenantNames = names("tenant-", tenants);
        List<String> routeNames = names("route-", routes);
        List<Tenant> quotas = new ArrayList<>();
        List<Tenant> sharedQuotas = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            quotas.add(new Tenant(i % DIFFERENT, 0.5));
            sharedQuotas.add(quotas.get(i % DIFFERENT));
        }
        List<RequestClass> specs = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            specs.add(
                    new RequestClass(
                            0, 0, 1 + i % DIFFERENT, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0));
        }
        say(
                "tenant, catalog alone",
                tenants,
                () -> Catalog.of(0, 0, List.of(), List.of(), tenantNames, quotas));
        say(
                "route, catalog alone",
                routes,
                () -> Catalog.of(0, 0, routeNames, specs, List.of(), List.of()));
        say(
                "tenant, with its name, quotas shared",
                tenants,
                () ->
                        Catalog.of(
                                0,
                                0,
                                List.of(),
                                List.of(),
                                names("tenant-", tenants),
                                sharedQuotas));
        say(
                "tenant, with its name and a quota of its own",
                tenants,
                () ->
                        Catalog.of(
                                0,
                                0,
                                List.of(),
                                List.of(),
                                names("tenant-", tenants),
                                sharedQuotas.stream()
                                        .map(t -> new Tenant(t.quotaPerSecond(), t.share()))
                                        .toList()));
        say(
                "route, with its name and a spec of its own",
                routes,
                () ->
                        Catalog.of(
                                0,
                                0,
                                names("route-", routes),
                                specs.stream()
                                        .map(
                                                s ->
                                                        new RequestClass(
                                                                0,
                                                                0,
                                                                s.deadlineMillis(),
                                                                1,
                                                                0,
                                                                Idempotency.IDEMPOTENT,
                                                                0,
                                                                false,
                                                                0))
                                        .toList(),
                                List.of(),
                                List.of()));
        Catalog whole = Catalog.of(0, 0, routeNames, specs, tenantNames, quotas);
        say(
                "tenant, of a re-read that is equal",
                tenants,
                () -> {
                    FullSnapshotDiff same = new FullSnapshotDiff(whole);
                    for (int i = 0; i < tenants; i++) {
                        same.tenant(tenantNames.get(i), quotas.get(i));
                    }
                    return same;
                });
    }

    private static List<String> names(String word, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(word + String.format("%05d", i));
        }
        return names;
    }

    private static void say(String what, int entries, Supplier<Object> make) {
        Object unused = make.get();
        long before = used();
        long from = System.nanoTime();
        Object made = make.get();
        long ms = (System.nanoTime() - from) / 1_000_000;
        long bytes = used() - before;
        System.out.printf(
                "%s: %.1f bytes, %d ms for %d%n", what, (double) bytes / entries, ms, entries);
        java.lang.ref.Reference.reachabilityFence(made);
    }

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
