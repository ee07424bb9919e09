package tinroad.config;

import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Receives the classes and tenants of the settings one by one, in the order of the file, so that
 * they need not all be in memory at once.
 */
public interface SiteVisitor {
    /** Receives a class; returns false if an earlier class has the same name. */
    boolean requestClass(String name, RequestClass spec);

    /** Receives a tenant; returns false if an earlier tenant has the same name. */
    boolean tenant(String name, Tenant spec);
}
