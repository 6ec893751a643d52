package org.geraniumreach.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

/** Keeps the platform's own terms inside its folder, and restricts the code in that folder to conversion. */
class PlatformBoundaryTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.geraniumreach");

    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Attempt-Id",
                "X-Server-Seal",
                "X-Not-Executed",
                "X-Expect-Instance",
                "X-Prompt-Prefix",
                "X-Token-Count",
                "X-Deadline-Ms",
                "X-Tenant",
                "rows-tx",
                "rows-get",
                "rows-feed",
                "kv-move",
                "hold-take",
                "cold_remaining_ms",
                "fencing_token",
                "model_load",
                "Server-Limit",
                "Server-Leaving",
                "tombstone"
            })
    void noMainSourceOutsidePlatformFolderContainsPlatformTerm(String term) throws IOException {
        assertThat(sources().filter(file -> containsText(file, term)).toList()).isEmpty();
    }

    private static Stream<Path> sources() throws IOException {
        return Files.walk(ROOT)
                .filter(file -> file.toString().endsWith(".java"))
                .filter(file -> file.toString().contains("/src/main/"))
                .filter(file -> !ROOT.relativize(file).startsWith("platform"))
                .filter(file -> !ROOT.relativize(file).startsWith("standins"));
    }

    private static boolean containsText(Path file, String term) {
        try {
            return Files.readString(file).contains(term);
        } catch (IOException unreadable) {
            throw new IllegalStateException("cannot read " + file, unreadable);
        }
    }

    @Test
    void platformFolderUsesNoClockTimerOrRandomness() {
        noClasses()
                .that()
                .resideInAPackage("org.geraniumreach.platform..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching(
                        "java\\.util\\.(Timer|Random|SplittableRandom|concurrent\\.(.*ExecutorService|ThreadLocalRandom))")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("org\\.geraniumreach\\.(model\\.MonotonicClock|gateway\\.port\\.Timers)")
                .check(CLASSES);
    }

    @Test
    void gatewayDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("org.geraniumreach.gateway..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net.http..",
                        "java.nio.channels..",
                        "io.netty..",
                        "org.glassfish..",
                        "com.fasterxml..",
                        "org.geraniumreach.platform..",
                        "org.geraniumreach.node..")
                .check(CLASSES);
    }

    @Test
    void platformFolderIsUsedOnlyByNodeProcess() {
        List<String> modules = List.of("gateway", "coordination", "serving", "link", "daemon", "model");
        for (String module : modules) {
            noClasses()
                    .that()
                    .resideInAPackage("org.geraniumreach." + module + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.geraniumreach.platform..")
                    .allowEmptyShould(true)
                    .check(CLASSES);
        }
    }
}
