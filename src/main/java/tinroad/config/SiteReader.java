package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.flag;
import static tinroad.config.JsonFields.items;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tinroad.overload.Controller;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.LoadHint;

/**
 * Reads 'the settings', the object that the simulator's first message and a gateway's configuration
 * share. Unknown names are skipped, absent ones take their neutral value. Classes and tenants
 * become lists, or go to a visitor one by one: then a class that comes before {@code family_info},
 * which says more of it, waits for a second pass over the file.
 */
public final class SiteReader {
    private final SiteVisitor visitor;
    private final Lists lists;
    private final Shared<Controller.RequestClass> classSpecs = new Shared<>();
    private final Shared<Controller.Tenant> tenantSpecs = new Shared<>();
    private final List<Boolean> classCalls = new ArrayList<>();
    private final List<Double> degradedWorth = new ArrayList<>();
    private final List<String> gaugeNames = new ArrayList<>();

    /** Words that offer what this program doesn't know, as lines for the operators. */
    private final ValidationErrors unknown = new ValidationErrors();

    private final ValidationErrors classNameFaults = new ValidationErrors();
    private final ValidationErrors tenantNameFaults = new ValidationErrors();
    private final ValidationErrors classFaults = new ValidationErrors();
    private final ValidationErrors tenantFaults = new ValidationErrors();
    private JsonParser in;
    private int classes;
    private int tenants;
    private boolean infoRead;
    private boolean classesWait;
    private Controller.ObjectiveWeights goal = new Controller.ObjectiveWeights(0, 0, 0, 0);
    private Controller.Rules rules = new Controller.Rules(0, 1, 0, 0, 1, 0);
    private DependencyKind below = DependencyKind.NONE;
    private LoadHint say = LoadHint.NONE;
    private CancellationMode halt = CancellationMode.NONE;
    private double callShare;
    private double callSpan;
    private double lingers;
    private double cores = 1;
    private double servers = 1;
    private double callers = 1;
    private boolean cold;
    private boolean passesDeadline = true;
    private double idle;
    private double memoryKb;
    private double runFactor = 1;
    private double keyKb;
    private double freshFor;
    private double maxStayAway;
    private boolean passesStayAway;
    private boolean marksRetry;
    private double overShareWorth = 1;
    private double step;
    private boolean worthByWork;

    /**
     * Its classes and tenants go to {@code visitor}, or null: into the lists of {@link #site()}.
     */
    SiteReader(SiteVisitor visitor) {
        lists = new Lists();
        this.visitor = visitor == null ? lists : visitor;
    }

    /** Reads the object that the parser stands on. */
    public static Site read(JsonParser in) throws IOException {
        SiteReader reader = new SiteReader(null);
        reader.pass(in);
        return reader.site();
    }

    /**
     * Hands out classes and tenants of the object that the parser stands on, in one pass; what
     * can't be meant becomes a fault.
     */
    public static void read(JsonParser in, SiteVisitor visitor, ValidationErrors faults)
            throws IOException {
        SiteReader reader = new SiteReader(visitor);
        reader.pass(in);
        if (reader.classesWait) {
            faults.add("classes come before family_info");
        }
        faults.addAll(reader.faults(reader.site()));
    }

    /** Reads all but classes that can't be told yet. */
    void pass(JsonParser parser) throws IOException {
        in = parser;
        each(in, this::setting);
    }

    /** Whether {@link #secondPass} has to follow. */
    boolean classesWait() {
        return classesWait;
    }

    /** Reads the classes that were passed over. */
    void secondPass(JsonParser parser) throws IOException {
        in = parser;
        each(
                in,
                name -> {
                    if (name.equals("classes")) {
                        items(in, i -> requestClass());
                    }
                });
    }

    /** How many classes there are. */
    int classes() {
        return classes;
    }

    /** What of it can't be meant, in the order of the settings' parts. */
    ValidationErrors faults(Site site) {
        ValidationErrors all = new ValidationErrors();
        all.addAll(unknown);
        all.addAll(classNameFaults);
        all.addAll(tenantNameFaults);
        SettingsValidator.counts(classes, tenants, all);
        all.addAll(classFaults);
        all.addAll(tenantFaults);
        SettingsValidator.rest(site.settings(), all);
        return all;
    }

    /** What {@code none} stands for; any other word is one that this program doesn't know. */
    private <T> T known(String name, T none) throws IOException {
        if (!text(in).equals("none")) {
            unknown.add(name + " is not known: '" + text(in) + "'");
        }
        return none;
    }

    private boolean calls(int index) {
        return index < classCalls.size() && classCalls.get(index);
    }

    private double skipWorth(int index) {
        return index < degradedWorth.size() ? degradedWorth.get(index) : 0;
    }

    /** What was read; without classes and tenants where a visitor took them. */
    Site site() {
        for (int i = 0; i < lists.classes.size(); i++) {
            Controller.RequestClass c = lists.classes.get(i);
            if (c.callsDependency() != calls(i) || c.degradedWeightShare() != skipWorth(i)) {
                lists.classes.set(
                        i,
                        classSpecs.of(
                                new Controller.RequestClass(
                                        c.objectiveMillis(),
                                        c.objectivePerWork(),
                                        c.deadlineMillis(),
                                        c.priorityWeight(),
                                        c.lateWeightShare(),
                                        c.idempotency(),
                                        c.keyWindowMillis(),
                                        calls(i),
                                        skipWorth(i))));
            }
        }
        Controller.Settings settings =
                new Controller.Settings(
                        List.copyOf(lists.classes),
                        List.copyOf(lists.tenants),
                        goal,
                        rules,
                        new Controller.Dependency(below, callShare, callSpan, lingers),
                        say,
                        halt,
                        (int) cores,
                        (int) servers,
                        (int) callers,
                        cold,
                        passesDeadline,
                        idle,
                        memoryKb,
                        runFactor,
                        keyKb,
                        freshFor,
                        maxStayAway,
                        passesStayAway,
                        marksRetry,
                        overShareWorth,
                        step,
                        worthByWork);
        return new Site(
                settings,
                List.copyOf(lists.classNames),
                List.copyOf(lists.tenantNames),
                List.copyOf(gaugeNames));
    }

    private void setting(String name) throws IOException {
        switch (name) {
            case "classes" -> {
                if (visitor == lists || infoRead) {
                    items(in, i -> requestClass());
                } else {
                    // Skipped.
                    classesWait = true;
                }
            }
            case "orgs" -> items(in, i -> tenant());
            case "goal" -> goal();
            case "rules" -> rules();
            case "family_info" -> {
                each(in, this::serverInfo);
                infoRead = true;
            }
            case "caps" -> each(in, this::cap);
            case "clients" -> each(in, n -> marksRetry |= n.equals("marks_retry") && flag(in));
            case "servers" -> servers = number(in, 1);
            case "over_share_worth" -> overShareWorth = number(in, 1);
            case "step" -> step = number(in, 0);
            case "worth_by" -> worthByWork = text(in).equals("work");
            default -> {}
        }
    }

    private void serverInfo(String name) throws IOException {
        switch (name) {
            case "below" ->
                    below =
                            switch (text(in)) {
                                case "common" -> DependencyKind.SHARED;
                                case "next_hop" -> DependencyKind.NEXT_HOP;
                                default -> known(name, DependencyKind.NONE);
                            };
            case "say" ->
                    say =
                            switch (text(in)) {
                                case "min_rank" -> LoadHint.MIN_RANK;
                                case "tokens" -> LoadHint.TOKENS;
                                case "bias" -> LoadHint.BIAS;
                                default -> known(name, LoadHint.NONE);
                            };
            case "halt" ->
                    halt =
                            switch (text(in)) {
                                case "drop" -> CancellationMode.DROP;
                                case "pause" -> CancellationMode.PAUSE;
                                default -> known(name, CancellationMode.NONE);
                            };
            case "meters" -> items(in, i -> gaugeNames.add(text(in)));
            case "class_calls" -> items(in, i -> classCalls.add(flag(in)));
            case "degraded_worth" -> items(in, i -> degradedWorth.add(number(in, 0)));
            case "calls_out" -> callShare = number(in, 0);
            case "share_span" -> callSpan = number(in, 0);
            case "lingers" -> lingers = number(in, 0);
            case "cores" -> cores = number(in, 1);
            case "callers" -> callers = number(in, 1);
            case "just_started" -> cold = flag(in);
            case "passes_deadline" -> passesDeadline = flag(in);
            case "idle" -> idle = number(in, 0);
            case "memory_kb" -> memoryKb = number(in, 0);
            case "run_factor" -> runFactor = number(in, 1);
            case "kb_per_key" -> keyKb = number(in, 0);
            case "fresh_for" -> freshFor = number(in, 0);
            default -> {}
        }
    }

    private void cap(String name) throws IOException {
        switch (name) {
            case "max_retry_after" -> maxStayAway = number(in, 0);
            case "retry_after" -> passesStayAway = flag(in);
            default -> {}
        }
    }

    private void requestClass() throws IOException {
        ClassFields c = new ClassFields();
        each(
                in,
                name -> {
                    switch (name) {
                        case "name" -> c.name = text(in);
                        case "objective" -> c.aim = number(in, 0);
                        case "aim_stretch" -> c.aimStretch = number(in, 0);
                        case "deadline" -> c.deadline = number(in, 0);
                        case "gain" -> c.worth = number(in, 0);
                        case "late_share" -> c.lateShare = number(in, 0);
                        case "key_ttl" -> c.keyWindow = number(in, 0);
                        case "semantics" ->
                                c.semantics =
                                        switch (text(in)) {
                                            case "free" -> Idempotency.IDEMPOTENT;
                                            case "guarded" -> Idempotency.IDEMPOTENT_WITH_KEY;
                                            case "single_shot" -> Idempotency.NON_IDEMPOTENT;
                                            default -> {
                                                unknown.add(
                                                        "class "
                                                                + c.name
                                                                + ": semantics is none of free,"
                                                                + " guarded, single_shot: '"
                                                                + text(in)
                                                                + "'");
                                                yield Idempotency.NON_IDEMPOTENT;
                                            }
                                        };
                        default -> {}
                    }
                });
        int i = classes++;
        Controller.RequestClass spec =
                classSpecs.of(
                        new Controller.RequestClass(
                                c.aim,
                                c.aimStretch,
                                c.deadline,
                                c.worth,
                                c.lateShare,
                                c.semantics,
                                c.keyWindow,
                                calls(i),
                                skipWorth(i)));
        SettingsValidator.name(
                "classes", i, c.name, !visitor.requestClass(c.name, spec), classNameFaults);
        SettingsValidator.requestClass(c.name, spec, classFaults);
    }

    private void tenant() throws IOException {
        String[] label = {""};
        double[] figures = new double[2];
        each(
                in,
                name -> {
                    switch (name) {
                        case "name" -> label[0] = text(in);
                        case "quota_per_s" -> figures[0] = number(in, 0);
                        case "share" -> figures[1] = number(in, 0);
                        default -> {}
                    }
                });
        Controller.Tenant spec = tenantSpecs.of(new Controller.Tenant(figures[0], figures[1]));
        SettingsValidator.name(
                "orgs", tenants++, label[0], !visitor.tenant(label[0], spec), tenantNameFaults);
        SettingsValidator.tenant(label[0], spec, tenantFaults);
    }

    private void goal() throws IOException {
        double[] g = new double[4];
        each(
                in,
                name -> {
                    switch (name) {
                        case "whole" -> g[0] = number(in, 0);
                        case "worst_window" -> g[1] = number(in, 0);
                        case "worst_class" -> g[2] = number(in, 0);
                        case "worst_tenant" -> g[3] = number(in, 0);
                        default -> {}
                    }
                });
        goal = new Controller.ObjectiveWeights(g[0], g[1], g[2], g[3]);
    }

    private void rules() throws IOException {
        double[] r = {0, 1, 0, 0, 1, 0};
        each(
                in,
                name -> {
                    switch (name) {
                        case "answer_slack" -> r[0] = number(in, 0);
                        case "cold_from" -> r[1] = number(in, 1);
                        case "ramp_time" -> r[2] = number(in, 0);
                        case "drain_grace" -> r[3] = number(in, 0);
                        case "fall_multiple" -> r[4] = number(in, 1);
                        case "fall" -> r[5] = number(in, 0);
                        default -> {}
                    }
                });
        rules = new Controller.Rules(r[0], r[1], r[2], r[3], r[4], r[5]);
    }

    /** Whole tables, for who needs them. */
    private static final class Lists implements SiteVisitor {
        private final List<Controller.RequestClass> classes = new ArrayList<>();
        private final List<Controller.Tenant> tenants = new ArrayList<>();
        private final List<String> classNames = new ArrayList<>();
        private final List<String> tenantNames = new ArrayList<>();
        private final Set<String> takenClasses = new HashSet<>();
        private final Set<String> takenTenants = new HashSet<>();

        @Override
        public boolean requestClass(String name, Controller.RequestClass spec) {
            classes.add(spec);
            classNames.add(name);
            return takenClasses.add(name);
        }

        @Override
        public boolean tenant(String name, Controller.Tenant spec) {
            tenants.add(spec);
            tenantNames.add(name);
            return takenTenants.add(name);
        }
    }

    /** A class while its fields come in, in any order. */
    private static final class ClassFields {
        private String name = "";
        private double aim;
        private double aimStretch;
        private double deadline;
        private double worth;
        private double lateShare;
        private double keyWindow;
        private Idempotency semantics = Idempotency.NON_IDEMPOTENT;
    }
}
