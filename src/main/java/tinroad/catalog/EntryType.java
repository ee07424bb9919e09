package tinroad.catalog;

import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * What differs between the two tables of a catalog; all else is written once. The words are those
 * of the settings file.
 */
interface EntryType<S, E extends CatalogEntry<S>> {
    EntryType<RequestClass, Catalog.ClassEntry> ROUTES =
            new EntryType<>() {
                @Override
                public String word() {
                    return "class";
                }

                @Override
                public Catalog.ClassEntry entry(String name, int place, RequestClass spec) {
                    return new Catalog.ClassEntry(name, place, spec);
                }

                @Override
                public ContentHash hash(String name, RequestClass s) {
                    return ContentHash.of(
                            'c',
                            name,
                            s.objectiveMillis(),
                            s.objectivePerWork(),
                            s.deadlineMillis(),
                            s.priorityWeight(),
                            s.lateWeightShare(),
                            hashedCode(s.idempotency()),
                            s.keyWindowMillis(),
                            s.callsDependency() ? 1 : 0,
                            s.degradedWeightShare());
                }

                @Override
                public void check(String name, RequestClass spec, ValidationErrors faults) {
                    SettingsValidator.requestClass(name, spec, faults);
                }
            };

    EntryType<Tenant, Catalog.TenantEntry> TENANTS =
            new EntryType<>() {
                @Override
                public String word() {
                    return "org";
                }

                @Override
                public Catalog.TenantEntry entry(String name, int place, Tenant spec) {
                    return new Catalog.TenantEntry(name, place, spec);
                }

                @Override
                public ContentHash hash(String name, Tenant s) {
                    return ContentHash.of('o', name, s.quotaPerSecond(), s.share());
                }

                @Override
                public void check(String name, Tenant spec, ValidationErrors faults) {
                    SettingsValidator.tenant(name, spec, faults);
                }
            };

    /** As the settings file calls one. */
    String word();

    E entry(String name, int place, S spec);

    ContentHash hash(String name, S spec);

    void check(String name, S spec, ValidationErrors faults);

    /** The character by which the content hash knows an idempotency; stored logs depend on it. */
    private static char hashedCode(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> 'F';
            case IDEMPOTENT_WITH_KEY -> 'G';
            case NON_IDEMPOTENT -> 'S';
        };
    }
}
