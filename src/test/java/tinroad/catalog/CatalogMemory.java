package tinroad.catalog;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Measures the cost of a catalog: {@code CatalogMemory TENANTS CLASSES} on the command line prints
 * the heap per entry, and times.
 */
public final class CatalogMemory {
    private static final int DISTINCT_SPECS = 100;

    private CatalogMemory() {}

    /** Prints one line for each measurement. */
    public static void main(String[] args) {
        int tenants = Integer.parseInt(args[0]);
        int classes = Integer.parseInt(args[1]);
        List<String> tenantNames = names("tenant-", tenants);
        List<String> classNames = names("route-", classes);
        List<Tenant> quotas = new ArrayList<>();
        List<Tenant> sharedQuotas = new ArrayList<>();
        for (int i = 0; i < tenants; i++) {
            quotas.add(new Tenant(i % DISTINCT_SPECS, 0.5));
            sharedQuotas.add(quotas.get(i % DISTINCT_SPECS));
        }
        List<RequestClass> specs = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            specs.add(
                    new RequestClass(
                            0,
                            0,
                            1 + i % DISTINCT_SPECS,
                            1,
                            0,
                            Idempotency.IDEMPOTENT,
                            0,
                            false,
                            0));
        }
        measure(
                "tenant, catalog alone",
                tenants,
                () -> Catalog.of(0, 0, List.of(), List.of(), tenantNames, quotas));
        measure(
                "class, catalog alone",
                classes,
                () -> Catalog.of(0, 0, classNames, specs, List.of(), List.of()));
        measure(
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
        measure(
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
        measure(
                "class, with its name and a spec of its own",
                classes,
                () ->
                        Catalog.of(
                                0,
                                0,
                                names("route-", classes),
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
        Catalog full = Catalog.of(0, 0, classNames, specs, tenantNames, quotas);
        measure(
                "tenant, of a re-read that is equal",
                tenants,
                () -> {
                    FullSnapshotDiff diff = new FullSnapshotDiff(full);
                    for (int i = 0; i < tenants; i++) {
                        diff.tenant(tenantNames.get(i), quotas.get(i));
                    }
                    return diff;
                });
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + String.format("%05d", i));
        }
        return names;
    }

    private static void measure(String description, int entries, Supplier<Object> create) {
        Object warmup = create.get();
        long before = usedBytes();
        long startNanos = System.nanoTime();
        Object measured = create.get();
        try {
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            long bytes = usedBytes() - before;
            System.out.printf(
                    "%s: %.1f bytes, %d ms for %d%n",
                    description, (double) bytes / entries, millis, entries);
        } finally {
            Reference.reachabilityFence(warmup);
            Reference.reachabilityFence(measured);
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
