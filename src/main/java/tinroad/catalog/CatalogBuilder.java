package tinroad.catalog;

import java.util.ArrayList;
import java.util.List;
import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * Creates each version of the catalog from the one before it, and allocates slots. Used by one
 * thread at a time, off the event loop. The slot of a removed entry is allocated again only after
 * {@link #releaseClassSlot} or {@link #releaseTenantSlot}, which are called after the event loop
 * has found that no request refers to the slot any more.
 */
public final class CatalogBuilder {
    private final CatalogTableBuilder<RequestClass, Catalog.ClassEntry> classes;
    private final CatalogTableBuilder<Tenant, Catalog.TenantEntry> tenants;
    private Catalog current;

    /** The result of applying a change. */
    public sealed interface ChangeResult {
        /** The change was applied: the next version, and how it differs from the one before. */
        record Applied(Catalog next, CatalogDelta delta) implements ChangeResult {}

        /**
         * The change is invalid, and no part of it was applied. Contains one line for each error.
         */
        record Rejected(List<String> errors) implements ChangeResult {}

        /** The change was applied before, so nothing changes. */
        record AlreadyApplied() implements ChangeResult {}

        /** The change belongs to an earlier epoch than the current one. */
        record Fenced(long currentEpoch) implements ChangeResult {}

        /** Changes before this one are missing, from the number {@code firstMissing} on. */
        record Gap(long firstMissing) implements ChangeResult {}

        /**
         * The change follows another content than the current one, or is a different change under a
         * number that was applied already. Either two publishers use the same epoch, or the change
         * log and the settings file don't belong together.
         */
        record Diverged(String currentHash) implements ChangeResult {}
    }

    /**
     * Starts with a catalog whose slots are all in use, as in one created by {@link Catalog#of}.
     */
    public CatalogBuilder(Catalog first) {
        current = first;
        classes = new CatalogTableBuilder<>(first.classTable(), SettingsValidator.MAX_CLASSES);
        tenants = new CatalogTableBuilder<>(first.tenantTable(), SettingsValidator.MAX_TENANTS);
    }

    /** The latest version. */
    public Catalog current() {
        return current;
    }

    /**
     * Makes this slot of a removed class available again. To be called once no request refers to
     * it.
     */
    public void releaseClassSlot(int slot) {
        classes.releaseSlot(slot);
    }

    /**
     * Makes this slot of a removed tenant available again. To be called once no request refers to
     * it.
     */
    public void releaseTenantSlot(int slot) {
        tenants.releaseSlot(slot);
    }

    /** Applies the next change. If it can not be applied, the result says why. */
    public ChangeResult apply(CatalogChange change) {
        if (change.epoch() == current.epoch() && change.number() > current.number() + 1) {
            return new ChangeResult.Gap(current.number() + 1);
        }
        if (change.epoch() > current.epoch() && change.number() != 1) {
            return new ChangeResult.Gap(1);
        }
        return applyFullSnapshot(change);
    }

    /**
     * Applies a change that leads from the current version to a full snapshot, as created by {@link
     * FullSnapshotDiff}. Unlike other changes it may skip numbers, and may begin a higher epoch
     * with any number.
     */
    public ChangeResult applyFullSnapshot(CatalogChange change) {
        if (change.epoch() < current.epoch()) {
            return new ChangeResult.Fenced(current.epoch());
        }
        if (change.epoch() == current.epoch() && change.number() <= current.number()) {
            return change.number() < current.number() || current.contains(change)
                    ? new ChangeResult.AlreadyApplied()
                    : new ChangeResult.Diverged(current.contentHash());
        }
        if (change.hashAfter() != null && change.hashAfter().equals(current.contentHash())) {
            // The settings file was read before the change that leads to its content.
            current = current.withVersion(change.epoch(), change.number());
            return new ChangeResult.Applied(current, new CatalogDelta(List.of(), List.of()));
        }
        if (change.hashBefore() != null && !change.hashBefore().equals(current.contentHash())) {
            return new ChangeResult.Diverged(current.contentHash());
        }
        ValidationErrors errors = validate(change);
        return errors.isEmpty() ? applyValid(change) : new ChangeResult.Rejected(errors.lines());
    }

    private ValidationErrors validate(CatalogChange change) {
        ValidationErrors errors = new ValidationErrors();
        int classCount =
                classes.validate(
                        current.classTable(), change.putClasses(), change.removedClasses(), errors);
        int tenantCount =
                tenants.validate(
                        current.tenantTable(),
                        change.putTenants(),
                        change.removedTenants(),
                        errors);
        SettingsValidator.counts(classCount, tenantCount, errors);
        if (classCount == 0) {
            errors.add("no class would be left");
        }
        String hashAfter = current.hashAfter(change);
        if (errors.isEmpty()
                && change.hashAfter() != null
                && !change.hashAfter().equals(hashAfter)) {
            errors.add("it leads to content " + hashAfter + ", not to " + change.hashAfter());
        }
        return errors;
    }

    private ChangeResult.Applied applyValid(CatalogChange change) {
        List<ClassSlot> changedClasses =
                new ArrayList<>(change.putClasses().size() + change.removedClasses().size());
        List<TenantSlot> changedTenants =
                new ArrayList<>(change.putTenants().size() + change.removedTenants().size());
        current =
                new Catalog(
                        change.epoch(),
                        change.number(),
                        classes.apply(
                                current.classTable(),
                                change.putClasses(),
                                change.removedClasses(),
                                (slot, spec) -> changedClasses.add(new ClassSlot(slot, spec))),
                        tenants.apply(
                                current.tenantTable(),
                                change.putTenants(),
                                change.removedTenants(),
                                (slot, spec) -> changedTenants.add(new TenantSlot(slot, spec))));
        return new ChangeResult.Applied(current, new CatalogDelta(changedClasses, changedTenants));
    }
}
