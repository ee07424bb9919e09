package tinroad.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/** A visitor that collects all classes and tenants of the settings, in the order of the file. */
final class SiteLists implements SiteVisitor {
    private final List<RequestClass> classes = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<String> classNames = new ArrayList<>();
    private final List<String> tenantNames = new ArrayList<>();
    private final Set<String> knownClassNames = new HashSet<>();
    private final Set<String> knownTenantNames = new HashSet<>();

    @Override
    public boolean requestClass(String name, RequestClass spec) {
        classes.add(spec);
        classNames.add(name);
        return knownClassNames.add(name);
    }

    @Override
    public boolean tenant(String name, Tenant spec) {
        tenants.add(spec);
        tenantNames.add(name);
        return knownTenantNames.add(name);
    }

    /** Replaces each class by the result of {@code completed} for its index. */
    void completeClasses(IntFunction<RequestClass> completed) {
        for (int i = 0; i < classes.size(); i++) {
            classes.set(i, completed.apply(i));
        }
    }

    List<RequestClass> classes() {
        return List.copyOf(classes);
    }

    RequestClass requestClass(int index) {
        return classes.get(index);
    }

    List<Tenant> tenants() {
        return List.copyOf(tenants);
    }

    List<String> classNames() {
        return List.copyOf(classNames);
    }

    List<String> tenantNames() {
        return List.copyOf(tenantNames);
    }
}
