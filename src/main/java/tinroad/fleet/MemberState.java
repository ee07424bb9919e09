package tinroad.fleet;

/** What this process knows of one other member. Changed by {@link MemberTable} only. */
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

    /** When that update was applied. */
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
