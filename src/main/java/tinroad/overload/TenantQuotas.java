package tinroad.overload;

import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/** Reduces the weight of requests of a tenant that exceeds its quota. */
final class TenantQuotas {
    /** Number of standard deviations by which a tenant may exceed its quota by chance. */
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
     * Returns 1, or less for a request whose tenant's rate exceeds both its quota and its share of
     * the arrivals.
     */
    double weight(ActiveRequest request) {
        Tenant tenant = request.tenant;
        if (tenant == null) {
            return 1;
        }
        double ownRate = tenants.rate(request.tenantSlot, clock.nowMillis());
        double serverQuota = tenant.quotaPerSecond() / Math.max(1, settings.servers());
        double shareRate =
                (arrivals.decayingRate() - ownRate)
                        * tenant.share()
                        / Math.max(1e-9, 1 - tenant.share());
        double expectedArrivals =
                Math.max(serverQuota, shareRate) * ArrivalStatistics.RATE_SPAN_MILLIS / 1000;
        double allowedRate =
                (expectedArrivals + MAX_DEVIATIONS * Math.sqrt(expectedArrivals))
                        * 1000
                        / ArrivalStatistics.RATE_SPAN_MILLIS;
        double withinQuotaShare = Math.min(1, allowedRate / Math.max(1e-9, ownRate));
        return withinQuotaShare + (1 - withinQuotaShare) * settings.overQuotaWeight();
    }
}
