package tinroad.config;

import static tinroad.config.JsonFields.each;
import static tinroad.config.JsonFields.flag;
import static tinroad.config.JsonFields.items;
import static tinroad.config.JsonFields.number;
import static tinroad.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.Set;
import tinroad.overload.Controller.ObjectiveWeights;
import tinroad.overload.Controller.OperatingLimits;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/**
 * Reads the settings: the JSON object that is part of both the simulator's first message and a
 * gateway's configuration. Only this class knows its top-level field names. Unknown fields are
 * skipped, and absent ones have their neutral value. Classes and tenants are collected in lists or
 * passed to a visitor one by one. With a visitor, classes that come before {@code family_info} need
 * a second pass over the file, because {@code family_info} has further values of each class. Used
 * by one thread.
 */
public final class SiteReader {
    private final SiteVisitor visitor;
    private final SiteLists lists = new SiteLists();
    private final Interner<RequestClass> classSpecs = new Interner<>();
    private final Interner<Tenant> tenantSpecs = new Interner<>();
    private final ValidationErrors unknownValues = new ValidationErrors();
    private final ValidationErrors classNameErrors = new ValidationErrors();
    private final ValidationErrors tenantNameErrors = new ValidationErrors();
    private final ValidationErrors classErrors = new ValidationErrors();
    private final ValidationErrors tenantErrors = new ValidationErrors();
    private final FamilyInfo familyInfo = new FamilyInfo(unknownValues);
    private boolean familyInfoRead;
    private boolean needsSecondPass;
    private int classCount;
    private int tenantCount;
    private ObjectiveWeights objectiveWeights = new ObjectiveWeights(0, 0, 0, 0);
    private OperatingLimits rules = new OperatingLimits(0, 1, 0, 0, 1, 0);
    private double servers = 1;
    private double maxRetryAfterMillis;
    private boolean sendsRetryAfter;
    private boolean requestsMarkRetries;
    private double overQuotaWeight = 1;
    private double clockStepMillis;
    private boolean weightByWork;

    /** Creates a reader that collects classes and tenants in the lists of {@link #site()}. */
    SiteReader() {
        visitor = lists;
    }

    /** Creates a reader that passes classes and tenants to {@code visitor}. */
    SiteReader(SiteVisitor visitor) {
        this.visitor = visitor;
    }

    /** Reads the object at the parser's current position. */
    public static Site read(JsonParser in) throws IOException {
        SiteReader reader = new SiteReader();
        reader.firstPass(in);
        return reader.site();
    }

    /**
     * Reads the object at the parser's current position in one pass, and passes its classes and
     * tenants to {@code visitor}.
     *
     * @param errors receives one line for each value that is not valid
     */
    public static void read(JsonParser in, SiteVisitor visitor, ValidationErrors errors)
            throws IOException {
        SiteReader reader = new SiteReader(visitor);
        reader.firstPass(in);
        if (reader.needsSecondPass) {
            errors.add("classes come before family_info");
        }
        errors.addAll(reader.errors(reader.site()));
    }

    /** Reads everything except classes that come before {@code family_info}. */
    void firstPass(JsonParser in) throws IOException {
        each(in, name -> setting(name, in));
    }

    /** Whether {@link #secondPass} has to follow. */
    boolean needsSecondPass() {
        return needsSecondPass;
    }

    /** Reads the classes that the first pass skipped. */
    void secondPass(JsonParser in) throws IOException {
        each(
                in,
                name -> {
                    if (name.equals("classes")) {
                        items(in, i -> requestClass(in));
                    }
                });
    }

    /** The number of classes read. */
    int classCount() {
        return classCount;
    }

    /** Returns all validation errors, in the order of the parts of the settings. */
    ValidationErrors errors(Site site) {
        ValidationErrors all = new ValidationErrors();
        all.addAll(unknownValues);
        all.addAll(classNameErrors);
        all.addAll(tenantNameErrors);
        SettingsValidator.counts(classCount, tenantCount, all);
        all.addAll(classErrors);
        all.addAll(tenantErrors);
        SettingsValidator.otherSettings(site.settings(), all);
        return all;
    }

    /** Returns what was read; without classes and tenants if they were passed to a visitor. */
    Site site() {
        lists.completeClasses(this::withFamilyInfo);
        Settings settings =
                new Settings(
                        lists.classes(),
                        lists.tenants(),
                        objectiveWeights,
                        rules,
                        familyInfo.dependency(),
                        familyInfo.loadHint(),
                        familyInfo.cancellationMode(),
                        familyInfo.cores(),
                        (int) servers,
                        familyInfo.callers(),
                        familyInfo.coldStart(),
                        familyInfo.requestsCarryDeadline(),
                        familyInfo.clientIdleTimeoutMillis(),
                        familyInfo.memoryKb(),
                        familyInfo.runMemoryFactor(),
                        familyInfo.keyKb(),
                        familyInfo.resultReplayMillis(),
                        maxRetryAfterMillis,
                        sendsRetryAfter,
                        requestsMarkRetries,
                        overQuotaWeight,
                        clockStepMillis,
                        weightByWork);
        return new Site(settings, lists.classNames(), lists.tenantNames(), familyInfo.gaugeNames());
    }

    /**
     * Completes the class at this index with values of a {@code family_info} that came after it.
     */
    private RequestClass withFamilyInfo(int index) {
        RequestClass spec = lists.requestClass(index);
        boolean callsDependency = familyInfo.callsDependency(index);
        double degradedWeightShare = familyInfo.degradedWeightShare(index);
        if (spec.callsDependency() == callsDependency
                && spec.degradedWeightShare() == degradedWeightShare) {
            return spec;
        }
        return classSpecs.intern(
                new RequestClass(
                        spec.objectiveMillis(),
                        spec.objectivePerWork(),
                        spec.deadlineMillis(),
                        spec.priorityWeight(),
                        spec.lateWeightShare(),
                        spec.idempotency(),
                        spec.keyRetentionMillis(),
                        callsDependency,
                        degradedWeightShare));
    }

    private void setting(String name, JsonParser in) throws IOException {
        switch (name) {
            case "classes" -> classes(in);
            case "orgs" -> items(in, i -> tenant(in));
            case "goal" -> objectiveWeights = objectiveWeights(in);
            case "rules" -> rules = rules(in);
            case "family_info" -> {
                familyInfo.read(in);
                familyInfoRead = true;
            }
            case "caps" -> each(in, field -> cap(field, in));
            case "clients" -> each(in, field -> client(field, in));
            case "servers" -> servers = number(in, 1);
            case "over_share_worth" -> overQuotaWeight = number(in, 1);
            case "step" -> clockStepMillis = number(in, 0);
            case "worth_by" -> weightByWork = text(in).equals("work");
            default -> {}
        }
    }

    private void cap(String field, JsonParser in) throws IOException {
        switch (field) {
            case "max_retry_after" -> maxRetryAfterMillis = number(in, 0);
            case "retry_after" -> sendsRetryAfter = flag(in);
            default -> {}
        }
    }

    private void client(String field, JsonParser in) {
        requestsMarkRetries |= field.equals("marks_retry") && flag(in);
    }

    private void classes(JsonParser in) throws IOException {
        if (visitor == lists || familyInfoRead) {
            items(in, i -> requestClass(in));
        } else {
            needsSecondPass = true;
        }
    }

    private void requestClass(JsonParser in) throws IOException {
        ClassFields fields = ClassFields.read(in, unknownValues);
        int index = classCount++;
        RequestClass spec =
                classSpecs.intern(
                        fields.toSpec(
                                familyInfo.callsDependency(index),
                                familyInfo.degradedWeightShare(index)));
        boolean duplicate = !visitor.requestClass(fields.name(), spec);
        SettingsValidator.name("classes", index, fields.name(), duplicate, classNameErrors);
        SettingsValidator.requestClass(fields.name(), spec, classErrors);
    }

    private void tenant(JsonParser in) throws IOException {
        TenantFields fields = TenantFields.read(in);
        int index = tenantCount++;
        Tenant spec = tenantSpecs.intern(fields.toSpec());
        boolean duplicate = !visitor.tenant(fields.name(), spec);
        SettingsValidator.name("orgs", index, fields.name(), duplicate, tenantNameErrors);
        SettingsValidator.tenant(fields.name(), spec, tenantErrors);
    }

    private static ObjectiveWeights objectiveWeights(JsonParser in) throws IOException {
        NumberFields fields =
                NumberFields.read(
                        in, Set.of("whole", "worst_window", "worst_class", "worst_tenant"));
        return new ObjectiveWeights(
                fields.get("whole", 0),
                fields.get("worst_window", 0),
                fields.get("worst_class", 0),
                fields.get("worst_tenant", 0));
    }

    private static OperatingLimits rules(JsonParser in) throws IOException {
        NumberFields fields =
                NumberFields.read(
                        in,
                        Set.of(
                                "answer_slack",
                                "cold_from",
                                "ramp_time",
                                "drain_grace",
                                "fall_multiple",
                                "fall"));
        return new OperatingLimits(
                fields.get("answer_slack", 0),
                fields.get("cold_from", 1),
                fields.get("ramp_time", 0),
                fields.get("drain_grace", 0),
                fields.get("fall_multiple", 1),
                fields.get("fall", 0));
    }
}
