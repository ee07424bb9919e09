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
 * Makes one version of the catalog from the one before it, and allocates slots. Used by one thread
 * at a time, off the event loop. A slot is allocated again only after {@link #releaseClassSlot} or
 * {@link #releaseTenantSlot}: the event loop calls for it once no request refers to the slot.
 */
public final class CatalogBuilder {
    private final CatalogTableBuilder<RequestClass, Catalog.ClassEntry> classes;
    private final CatalogTableBuilder<Tenant, Catalog.TenantEntry> tenants;
    private Catalog current;

    /** What applying a change led to. */
    public sealed interface ChangeResult {
        /** The next version, and how it differs from the one before. */
        record Applied(Catalog next, CatalogDelta delta) implements ChangeResult {}

        /** The change is invalid and nothing of it applies; a line for each error. */
        record Rejected(List<String> errors) implements ChangeResult {}

        /** The version that it leads to was made before: nothing changes. */
        record AlreadyApplied() implements ChangeResult {}

        /** Its epoch is over. */
        record Fenced(long currentEpoch) implements ChangeResult {}

        /** Versions before it are missing, from this number on. */
        record Gap(long firstMissing) implements ChangeResult {}

        /**
         * It follows another content than the current one, or is another change under a number that
         * was applied: two publish with one epoch, or the log and the settings file don't belong
         * together.
         */
        record Diverged(String currentHash) implements ChangeResult {}
    }

    /** Starts with a catalog whose slots are all in use, as {@link Catalog#of} leaves them. */
    public CatalogBuilder(Catalog first) {
        current = first;
        classes = new CatalogTableBuilder<>(first.classTable(), SettingsValidator.MAX_CLASSES);
        tenants = new CatalogTableBuilder<>(first.tenantTable(), SettingsValidator.MAX_TENANTS);
    }

    /** The version that was made last. */
    public Catalog current() {
        return current;
    }

    /** No request refers to this slot of a removed class any more. */
    public void releaseClassSlot(int slot) {
        classes.releaseSlot(slot);
    }

    /** No request refers to this slot of a removed tenant any more. */
    public void releaseTenantSlot(int slot) {
        tenants.releaseSlot(slot);
    }

    /** Applies the change that comes next, or says why it can't. */
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
     * Applies a change that leads from the current version to a full snapshot, as {@link
     * FullSnapshotDiff} makes it: it may skip numbers, and begin a higher epoch with any.
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
            // The settings file was read before the change that leads to it.
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
            errors.add("it leads to content " + hashAfter + ", and says " + change.hashAfter());
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
