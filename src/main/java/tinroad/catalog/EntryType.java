package tinroad.catalog;

import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * The differences between the two tables of a catalog; everything else is shared code. The keywords
 * are those of the settings file.
 */
interface EntryType<S, E extends CatalogEntry<S>> {
    /** The character that stands for a class in the content hash; stored logs depend on it. */
    char CLASS_CODE = 'c';

    /** The character that stands for a tenant in the content hash; stored logs depend on it. */
    char TENANT_CODE = 'o';

    EntryType<RequestClass, Catalog.ClassEntry> CLASSES =
            new EntryType<>() {
                @Override
                public String keyword() {
                    return "class";
                }

                @Override
                public Catalog.ClassEntry entry(String name, int slot, RequestClass spec) {
                    return new Catalog.ClassEntry(name, slot, spec);
                }

                @Override
                public ContentHash hash(String name, RequestClass spec) {
                    return ContentHash.of(
                            CLASS_CODE,
                            name,
                            spec.objectiveMillis(),
                            spec.objectivePerWork(),
                            spec.deadlineMillis(),
                            spec.priorityWeight(),
                            spec.lateWeightShare(),
                            hashedCode(spec.idempotency()),
                            spec.keyRetentionMillis(),
                            spec.callsDependency() ? 1 : 0,
                            spec.degradedWeightShare());
                }

                @Override
                public void validate(String name, RequestClass spec, ValidationErrors errors) {
                    SettingsValidator.requestClass(name, spec, errors);
                }
            };

    EntryType<Tenant, Catalog.TenantEntry> TENANTS =
            new EntryType<>() {
                @Override
                public String keyword() {
                    return "org";
                }

                @Override
                public Catalog.TenantEntry entry(String name, int slot, Tenant spec) {
                    return new Catalog.TenantEntry(name, slot, spec);
                }

                @Override
                public ContentHash hash(String name, Tenant spec) {
                    return ContentHash.of(TENANT_CODE, name, spec.quotaPerSecond(), spec.share());
                }

                @Override
                public void validate(String name, Tenant spec, ValidationErrors errors) {
                    SettingsValidator.tenant(name, spec, errors);
                }
            };

    /** The keyword for an entry in the settings file. */
    String keyword();

    E entry(String name, int slot, S spec);

    ContentHash hash(String name, S spec);

    void validate(String name, S spec, ValidationErrors errors);

    /**
     * The character that stands for an idempotency in the content hash; stored logs depend on it.
     */
    private static char hashedCode(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> 'F';
            case IDEMPOTENT_WITH_KEY -> 'G';
            case NON_IDEMPOTENT -> 'S';
        };
    }
}
