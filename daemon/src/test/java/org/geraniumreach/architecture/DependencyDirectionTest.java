package org.geraniumreach.architecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/** Checks the dependency order of the modules, and that the decision modules perform no I/O. */
class DependencyDirectionTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.geraniumreach");

    @ParameterizedTest
    @ValueSource(strings = {"model", "coordination", "serving"})
    void decisionModulesUseNoSocketsThreadsSleepsOrFrameworks(String module) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage("org.geraniumreach." + module + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net.http..",
                        "java.nio.channels..",
                        "io.netty..",
                        "org.glassfish..",
                        "io.micrometer..",
                        "org.tinylog..",
                        "org.kohsuke..",
                        "com.google.protobuf..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.net\\.(Socket|ServerSocket|DatagramSocket|URLConnection).*")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.util\\.(Timer|concurrent\\.(Executor.*|.*ExecutorService|ForkJoin.*))")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(Object.class, "wait");
        rule.check(CLASSES);
    }

    @ParameterizedTest
    @ValueSource(strings = {"model", "coordination", "serving", "ports", "standalone", "link"})
    void lowerModulesDoNotDependOnTheDaemon(String module) {
        noClasses()
                .that()
                .resideInAPackage("org.geraniumreach." + module + "..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.geraniumreach.daemon..")
                .check(CLASSES);
    }

    @Test
    void shippedCodeDoesNotDependOnStandIns() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.geraniumreach.standins..")
                .check(CLASSES);
    }

    @Test
    void daemonPackagesAreFreeOfCycles() {
        slices().matching("org.geraniumreach.daemon.(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }
}
