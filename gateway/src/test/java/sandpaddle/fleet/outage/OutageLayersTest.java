package sandpaddle.fleet.outage;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Decisions on outages and on stored answers use no files, sockets, threads, clock or log. */
class OutageLayersTest {
    private static final JavaClasses FLEET_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("sandpaddle.fleet");

    @Test
    void decisionPackagesUseNoInputOutputThreadsClockOrLog() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "sandpaddle.fleet.outage..",
                        "sandpaddle.fleet.content.serve..",
                        "sandpaddle.fleet.content.replication..",
                        "sandpaddle.fleet.content.memory..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "org.tinylog..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(FLEET_CLASSES);
    }

    @Test
    void storedAnswersDoNotDependOnOutagePackages() {
        noClasses()
                .that()
                .resideInAPackage("sandpaddle.fleet.content..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("sandpaddle.fleet.outage..")
                .check(FLEET_CLASSES);
    }
}
