package tinroad.overload;

import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/** What requests of a tenant that exceeds its quota still weigh. */
final class TenantQuotas {
    /** A tenant exceeds its quota by chance up to this many standard deviations. */
    private static final double MAX_DEVIATIONS = 2.5;

    private final Settings settings;
    private final ControllerClock clock;
    private final TenantTable tenants;
    private final ArrivalStatistics arrivals;

    TenantQuotas(
            Settings settings,
            ControllerClock clock,
            TenantTable tenants,
            ArrivalStatistics arrivals) {
        this.settings = settings;
        this.clock = clock;
        this.tenants = tenants;
        this.arrivals = arrivals;
    }

    /**
     * 1, or less for a request whose tenant's rate and part of the arrivals are both over its
     * share.
     */
    double weight(ActiveRequest request) {
        Tenant tenant = request.tenant;
        if (tenant == null) {
            return 1;
        }
        double own = tenants.rate(request.tenantSlot, clock.nowMillis());
        double quota = tenant.quotaPerSecond() / Math.max(1, settings.servers());
        double besideOthers =
                (arrivals.decayingRate() - own)
                        * tenant.share()
                        / Math.max(1e-9, 1 - tenant.share());
        double expected = Math.max(quota, besideOthers) * ArrivalStatistics.RATE_SPAN_MILLIS / 1000;
        double fair =
                (expected + MAX_DEVIATIONS * Math.sqrt(expected))
                        * 1000
                        / ArrivalStatistics.RATE_SPAN_MILLIS;
        double within = Math.min(1, fair / Math.max(1e-9, own));
        return within + (1 - within) * settings.overQuotaWeight();
    }
}
