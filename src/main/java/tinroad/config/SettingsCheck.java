package tinroad.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tinroad.Controller;

/**
 * What in the settings can't be meant: told before the start, a line each. Only what no site can have is a fault; a value that is
 * absent, or a name that is not known, is none.
 */
final class SettingsCheck {
    private final List<String> faults = new ArrayList<>();

    private SettingsCheck() { }

    /** The faults of these settings, in their order; {@code named} tells words that were not understood. */
    static List<String> faults(Site site, List<String> unknownWords) {
        SettingsCheck check = new SettingsCheck();
        check.faults.addAll(unknownWords);
        check.all(site);
        return check.faults;
    }

    private void all(Site site) {
        Controller.Settings s = site.settings();
        names("classes", site.classNames());
        names("orgs", site.tenantNames());
        for (int i = 0; i < s.classes().size(); i++) {
            Controller.RequestClass c = s.classes().get(i);
            String where = "class " + site.classNames().get(i) + ": ";
            above(where + "deadline", c.deadline(), 0);
            least(where + "objective", c.aim(), 0);
            least(where + "gain", c.worth(), 0);
            within(where + "late_share", c.lateShare());
            least(where + "key_ttl", c.keyWindow(), 0);
        }
        for (int i = 0; i < s.tenants().size(); i++) {
            String where = "org " + site.tenantNames().get(i) + ": ";
            least(where + "quota_per_s", s.tenants().get(i).quotaPerSecond(), 0);
            within(where + "share", s.tenants().get(i).share());
        }
        Controller.Rules r = s.rules();
        least("rules: answer_slack", r.answerSlack(), 0);
        within("rules: cold_from", r.coldFrom());
        least("rules: ramp_time", r.rampTime(), 0);
        least("rules: drain_grace", r.drainGrace(), 0);
        least("rules: fall_multiple", r.crowdPerCore(), 1);
        least("rules: fall", r.crowdSpan(), 0);
        least("family_info: cores", s.cores(), 1);
        least("family_info: memory_kb", s.memoryKb(), 0);
        least("family_info: run_factor", s.runFactor(), 0);
        least("family_info: idle", s.idle(), 0);
        least("family_info: fresh_for", s.freshFor(), 0);
        least("caps: max_retry_after", s.maxStayAway(), 0);
    }

    private void names(String list, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).isEmpty()) {
                faults.add(list + "[" + i + "] has no name");
            } else if (!seen.add(names.get(i))) {
                faults.add(list + "[" + i + "]: the name " + names.get(i) + " is taken");
            }
        }
    }

    private void above(String what, double value, double bound) {
        if (!(value > bound)) {
            faults.add(what + " has to be above " + plain(bound) + ", not " + plain(value));
        }
    }

    private void least(String what, double value, double bound) {
        if (!(value >= bound)) {
            faults.add(what + " has to be " + plain(bound) + " at least, not " + plain(value));
        }
    }

    private void within(String what, double value) {
        if (!(value >= 0 && value <= 1)) {
            faults.add(what + " has to be from 0 to 1, not " + plain(value));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value) : Double.toString(value);
    }
}
