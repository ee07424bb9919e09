package tinroad.fleet;

/**
 * The member that runs in this process: the update it publishes about itself, and its refutation of
 * claims by others.
 */
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
     * Returns the incarnation that refutes a claim of another member about this one, or null if
     * there is nothing to refute.
     */
    MemberIncarnation refutationOf(MemberUpdate claim) {
        MemberIncarnation own = update.incarnation();
        MemberIncarnation claimed = claim.incarnation();
        if (claimed.sameMembership(own)) {
            if (claim.status().isTerminal()) {
                // This member was declared dead but is alive. Its membership is over for all
                // others, so it begins a new one.
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

    void raiseIncarnation(double nowMillis, MemberIncarnation incarnation) {
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
        update = update.withStatus(MemberStatus.LEFT, update.name());
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
