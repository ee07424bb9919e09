package tinroad.config;

import tinroad.Controller;
import java.util.List;

/** The settings as the module takes them, and the names behind its numbers: classes, tenants and gauges. */
public record Site(Controller.Settings settings, List<String> classNames, List<String> tenantNames,
        List<String> gaugeNames) { }
