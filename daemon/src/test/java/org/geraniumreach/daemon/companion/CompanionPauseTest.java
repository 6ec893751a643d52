package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.time.Duration;

import org.geraniumreach.messages.Run;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CompanionPauseTest {

    private static final Duration PAUSE = Duration.ofSeconds(3);

    private static CompanionFixture engineFixture() throws IOException {
        CompanionFixture fixture = CompanionFixture.ofEngineThatChecksNoFence(new FakeEngine(2));
        CompanionFixture.await(() -> fixture.companion.reasonNotReady().isEmpty());
        return fixture;
    }

    /** Guards against a companion that treats its unconfirmed fencing token as superseded. */
    @Test
    void companionServesAfterAPauseBesideALoad() throws IOException {
        try (CompanionFixture fixture = engineFixture()) {
            fixture.table.holdReads(true);
            fixture.pauseCompanion(PAUSE);
            RecordedAnswer first = fixture.send(fixture.generation("a", 3).build());
            CompanionFixture.await(first::isAccepted);
            fixture.table.holdReads(false);
            CompanionFixture.await(first::isEnded);
            assertThat(fixture.companion.reasonNotReady()).isEmpty();
            CompanionFixture.await(() -> isServed(fixture, "b"));
        }
    }

    private static boolean isServed(CompanionFixture fixture, String adapter) {
        Run run = fixture.generation(adapter, 3).build();
        RecordedAnswer answer = fixture.send(run);
        CompanionFixture.await(answer::isEnded);
        return answer.text().equals(CompanionFixture.expected(run));
    }
}
