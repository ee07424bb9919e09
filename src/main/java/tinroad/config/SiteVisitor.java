package tinroad.config;

import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Takes the classes and tenants of the settings one by one, in the order of the file, so that
 * nobody has to hold them all.
 */
public interface SiteVisitor {
    /** A class; false where its name was there before. */
    boolean requestClass(String name, RequestClass spec);

    /** A tenant; false where its name was there before. */
    boolean tenant(String name, Tenant spec);
}
