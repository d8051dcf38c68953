package sandpaddle.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The permitted dependencies between packages, as in the table of the README. */
class LayersTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("sandpaddle");

    @Test
    void noPackageDependsOnTheCompositionRoot() {
        noClasses()
                .that()
                .resideOutsideOfPackage("sandpaddle.app..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("sandpaddle.app..")
                .check(ALL);
    }

    @Test
    void coreDependsOnNoProtocol() {
        noClasses()
                .that()
                .resideInAnyPackage("sandpaddle.query..", "sandpaddle.dispatch..", "sandpaddle.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("sandpaddle.mysql..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("sandpaddle.engineclient..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("sandpaddle.dispatch..", "sandpaddle.mysql..")
                .check(ALL);
    }

    /** The decision module uses no sockets, files, threads or clock, and writes no log. */
    @Test
    void decisionModuleUsesNoInputOutputOrClock() {
        noClasses()
                .that()
                .resideInAnyPackage("sandpaddle.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "org.tinylog..",
                        "sandpaddle.eventloop..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("sandpaddle.(*)..").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void simulatorDependsOnlyOnTheDecisionModule() {
        classes()
                .that()
                .resideInAPackage("sandpaddle.simulator..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java..",
                        "com.fasterxml.jackson..",
                        "sandpaddle.simulator..",
                        "sandpaddle.decision..",
                        "sandpaddle.config..")
                .check(ALL);
    }
}
