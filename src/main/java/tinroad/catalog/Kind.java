package tinroad.catalog;

import tinroad.Controller.RequestClass;
import tinroad.Controller.Tenant;
import tinroad.config.Faults;
import tinroad.config.SettingsCheck;

/**
 * What differs between the two tables of a catalog; all else is written once. The words are those
 * of the settings file.
 */
interface Kind<S, E extends Entry<S>> {
    Kind<RequestClass, Catalog.Route> ROUTES =
            new Kind<>() {
                @Override
                public String word() {
                    return "class";
                }

                @Override
                public Catalog.Route entry(String name, int place, RequestClass spec) {
                    return new Catalog.Route(name, place, spec);
                }

                @Override
                public ContentHash hash(String name, RequestClass s) {
                    return ContentHash.of(
                            'c',
                            name,
                            s.aim(),
                            s.aimStretch(),
                            s.deadline(),
                            s.worth(),
                            s.lateShare(),
                            s.semantics().name().charAt(0),
                            s.keyWindow(),
                            s.calls() ? 1 : 0,
                            s.skipWorth());
                }

                @Override
                public void check(String name, RequestClass spec, Faults faults) {
                    SettingsCheck.requestClass(name, spec, faults);
                }
            };

    Kind<Tenant, Catalog.Account> TENANTS =
            new Kind<>() {
                @Override
                public String word() {
                    return "org";
                }

                @Override
                public Catalog.Account entry(String name, int place, Tenant spec) {
                    return new Catalog.Account(name, place, spec);
                }

                @Override
                public ContentHash hash(String name, Tenant s) {
                    return ContentHash.of('o', name, s.quotaPerSecond(), s.share());
                }

                @Override
                public void check(String name, Tenant spec, Faults faults) {
                    SettingsCheck.tenant(name, spec, faults);
                }
            };

    /** As the settings file calls one. */
    String word();

    E entry(String name, int place, S spec);

    ContentHash hash(String name, S spec);

    void check(String name, S spec, Faults faults);
}
