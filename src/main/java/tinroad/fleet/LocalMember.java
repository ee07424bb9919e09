package tinroad.fleet;

/** This member itself: what it claims of itself, and its refutation of what others claim of it. */
final class LocalMember {
    private MemberUpdate update;
    private double sinceMillis;

    LocalMember(MemberUpdate update) {
        this.update = update;
    }

    void start(double nowMillis) {
        sinceMillis = nowMillis;
    }

    /**
     * The incarnation that refutes what another claims of this member, or null where there is
     * nothing to refute.
     */
    MemberIncarnation refutationOf(MemberUpdate claim) {
        MemberIncarnation own = update.incarnation();
        MemberIncarnation claimed = claim.incarnation();
        if (claimed.sameMembership(own)) {
            if (claim.status().isTerminal()) {
                // Declared dead, yet alive: that membership is over for all, a new one begins.
                return own.rejoining(claimed.restart());
            }
            return claim.status() == MemberStatus.SUSPECT
                            && claimed.refutation() >= own.refutation()
                    ? own.refuting(claimed.refutation())
                    : null;
        }
        return claimed.process() == own.process() && claimed.restart() > own.restart()
                ? own.rejoining(claimed.restart())
                : null;
    }

    void raiseTo(double nowMillis, MemberIncarnation incarnation) {
        update =
                new MemberUpdate(
                        update.name(),
                        update.address(),
                        update.zone(),
                        incarnation,
                        MemberStatus.ALIVE,
                        update.name());
        sinceMillis = nowMillis;
    }

    void leave() {
        update = update.as(MemberStatus.LEFT, update.name());
    }

    MemberUpdate update() {
        return update;
    }

    String name() {
        return update.name();
    }

    double sinceMillis() {
        return sinceMillis;
    }
}
