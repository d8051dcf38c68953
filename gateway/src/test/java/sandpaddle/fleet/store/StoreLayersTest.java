package sandpaddle.fleet.store;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Layering of the store: the interface and its decisions depend neither on MVStore nor on files. */
class StoreLayersTest {
    private static final JavaClasses STORE = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("sandpaddle.fleet.store");

    @Test
    void interfaceDoesNotDependOnImplementations() {
        noClasses()
                .that()
                .resideInAPackage("sandpaddle.fleet.store")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.h2..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "sandpaddle.fleet.store.mv..",
                        "sandpaddle.fleet.store.disk..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(STORE);
    }

    @Test
    void onlyTheDiskPackageAccessesFiles() {
        noClasses()
                .that()
                .resideOutsideOfPackage("sandpaddle.fleet.store.disk..")
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.nio\\.file\\.(Files|Path|Paths)")
                .check(STORE);
    }
}
