package tinroad.changelog;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;

/** Checks that a change log written by release 0.2.0 (commit 8aa3729) is followed to its end. */
class StoredChangeLogTest {
    private static final Path FILES = Path.of("src/test/resources/stored/0.2.0");

    @Test
    void followsTheReleasesChangeLogFromItsFirstConfigurationToItsLast() throws Exception {
        CatalogBuilder builder = new CatalogBuilder(catalog("config.json"));
        ChangeLogFollower follower =
                new ChangeLogFollower(
                        new ChangeLogStore(
                                FILES.resolve("changes"), ChangeLogStore.DEFAULT_KEPT_CHANGES),
                        "log",
                        null);
        KillLogWrites.follow(follower, builder);
        assertEquals(2, builder.current().epoch());
        assertEquals(1, builder.current().number());
        assertEquals(
                "fbb16f2c539afdcb22f1e5c9f6ae48a4", builder.current().contentHash().toString());
        assertEquals(
                catalog("config-after-changes.json").contentHash(),
                builder.current().contentHash());
    }

    private static Catalog catalog(String file) throws Exception {
        Site site = GatewayConfig.read(FILES.resolve(file)).site();
        return Catalog.of(
                0,
                0,
                site.classNames(),
                site.settings().classes(),
                site.tenantNames(),
                site.settings().tenants());
    }
}
