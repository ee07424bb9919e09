package tinroad;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between the layers of docs/architecture.md. */
class LayersTest {
    /**
     * Packages of decisions and state, which must not depend on clocks, wire formats, files,
     * sockets or threads.
     */
    private static final String[] DECISIONS = {
        "tinroad.overload..",
        "tinroad.route..",
        "tinroad.translate..",
        "tinroad.expect..",
        "tinroad.recovery..",
        "tinroad.fleet..",
        "tinroad.catalog.."
    };

    private static final JavaClasses ALL =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("tinroad");

    @Test
    void layersDependOnlyOnLayersBelow() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("cli")
                .definedBy("tinroad.cli..")
                .layer("node")
                .definedBy("tinroad.node..")
                .layer("edges")
                .definedBy(
                        "tinroad.fastcgi..",
                        "tinroad.engine..",
                        "tinroad.upstream..",
                        "tinroad.admin..",
                        "tinroad.discovery..",
                        "tinroad.simulator..",
                        "tinroad.gossip..")
                .layer("lab")
                .definedBy("tinroad.lab..", "tinroad.simulation..")
                .layer("core")
                .definedBy("tinroad.core..")
                .layer("decisions")
                .definedBy(
                        "tinroad.route..",
                        "tinroad.translate..",
                        "tinroad.expect..",
                        "tinroad.recovery..",
                        "tinroad.fleet..",
                        "tinroad.catalog..")
                .layer("changes")
                .definedBy("tinroad.changelog..")
                .layer("settings")
                .definedBy("tinroad.config..", "tinroad.operator..", "tinroad.state..")
                .layer("handover")
                .definedBy("tinroad.handover..")
                .layer("log")
                .definedBy("tinroad.log..")
                .layer("module")
                .definedBy("tinroad.overload..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("node")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("handover")
                .mayOnlyBeAccessedByLayers("node")
                .whereLayer("lab")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("edges")
                .mayOnlyBeAccessedByLayers("cli", "node", "lab")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers("cli", "node", "edges", "lab", "handover")
                .whereLayer("changes")
                .mayOnlyBeAccessedByLayers("cli", "node")
                .whereLayer("decisions")
                .mayOnlyBeAccessedByLayers("cli", "node", "edges", "lab", "core", "changes")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers(
                        "cli", "node", "edges", "lab", "core", "decisions", "changes")
                .check(ALL);
    }

    @Test
    void decisionsDoNotDependOnClocksWireFormatsFilesSocketsOrThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISIONS)
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(
                                "io.netty..",
                                "java.net..",
                                "java.nio..",
                                "java.io..",
                                "java.time..",
                                "java.util.concurrent..",
                                "org.slf4j..",
                                "com.fasterxml.jackson.core.."))
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(DECISIONS)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(ALL);
    }

    @Test
    void theOverloadPackageDependsOnNoOtherPackageOfTheProgram() {
        classes()
                .that()
                .resideInAPackage("tinroad.overload..")
                .should()
                .onlyDependOnClassesThat(
                        resideInAnyPackage(
                                "tinroad.overload..",
                                "java.lang..",
                                "java.util",
                                "java.util.function",
                                "java.util.stream"))
                .check(ALL);
    }

    @Test
    void coreDoesNotDependOnProtocolsOrSockets() {
        noClasses()
                .that()
                .resideInAPackage("tinroad.core..")
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(
                                "io.netty.channel..",
                                "io.netty.handler..",
                                "java.net..",
                                "java.nio..",
                                "com.fasterxml.."))
                .check(ALL);
    }

    @Test
    void edgesDoNotDependOnEachOther() {
        for (String edge :
                new String[] {
                    "fastcgi", "engine", "upstream", "admin", "discovery", "simulator", "gossip"
                }) {
            noClasses()
                    .that()
                    .resideInAPackage("tinroad." + edge + "..")
                    .should()
                    .dependOnClassesThat(
                            resideInAnyPackage(
                                            "tinroad.fastcgi..",
                                            "tinroad.engine..",
                                            "tinroad.upstream..",
                                            "tinroad.admin..",
                                            "tinroad.discovery..",
                                            "tinroad.simulator..",
                                            "tinroad.gossip..")
                                    .and(not(resideInAPackage("tinroad." + edge + ".."))))
                    .allowEmptyShould(true)
                    .check(ALL);
        }
    }

    /**
     * Guards against schedules that differ between processors: what {@link Math} computes by
     * approximation, and the library's samplers, which use it, may differ in the last digit.
     */
    @Test
    void schedulesUseNoArithmeticThatDiffersBetweenProcessors() {
        noClasses()
                .that()
                .resideInAnyPackage("tinroad.lab.schedule..", "tinroad.lab.script..")
                .should()
                .callMethodWhere(
                        target(owner(type(Math.class)))
                                .and(target(not(nameMatching("min|max|abs|round|floor|ceil")))))
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("org.apache.commons.rng.sampling.distribution..")
                .check(ALL);
    }

    @Test
    void onlyTheOperatorPackageAndCommandsUseDatabind() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "tinroad.operator..",
                        "tinroad.cli..",
                        "tinroad.lab..",
                        "tinroad.translate..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("com.fasterxml.jackson.databind..")
                .check(ALL);
    }
}
