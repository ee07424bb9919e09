package tinroad.fleet;

/** The current update on one other member. Only {@link MemberTable} changes it. */
final class MemberState {
    private MemberUpdate update;
    private double sinceMillis;

    MemberState(MemberUpdate update, double nowMillis) {
        this.update = update;
        sinceMillis = nowMillis;
    }

    void apply(MemberUpdate next, double nowMillis) {
        update = next;
        sinceMillis = nowMillis;
    }

    /** The update that overrides all others received so far. */
    MemberUpdate update() {
        return update;
    }

    /** When that update was applied, in ms. */
    double sinceMillis() {
        return sinceMillis;
    }

    String name() {
        return update.name();
    }

    String address() {
        return update.address();
    }

    MemberStatus status() {
        return update.status();
    }
}
