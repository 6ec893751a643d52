package org.geraniumreach.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.crash.SuspectKey;
import org.geraniumreach.gateway.crash.SuspectUpdate;
import org.geraniumreach.gateway.crash.TargetEnd;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;
import org.geraniumreach.messages.SuspectEnd;
import org.geraniumreach.messages.SuspectUpdates;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Converts what is known of suspects to messages, in which times are ages, and back.
 *
 * <p>Confined to the event loop.
 */
final class SuspectMessages {

    private final MonotonicClock clock;
    private final DecisionLog log;

    SuspectMessages(MonotonicClock clock, DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    SuspectUpdates toMessage(List<SuspectUpdate> updates) {
        SuspectUpdates.Builder message = SuspectUpdates.newBuilder();
        updates.forEach(update -> message.addUpdates(toMessage(update, clock.nanos())));
        return message.build();
    }

    /**
     * Converts a message; updates that are malformed or from a newer version are left out.
     *
     * @param message the message
     * @param age the time since the message was written
     */
    List<SuspectUpdate> fromMessage(SuspectUpdates message, Duration age) {
        long writtenAt = clock.nanos() - age.toNanos();
        return message.getUpdatesList().stream()
                .flatMap(update -> fromMessage(update, writtenAt).stream())
                .toList();
    }

    private static org.geraniumreach.messages.SuspectUpdate toMessage(SuspectUpdate update, long now) {
        org.geraniumreach.messages.SuspectUpdate.Builder message = org.geraniumreach.messages.SuspectUpdate.newBuilder()
                .setKind(toMessage(update.key().kind()))
                .setHash(update.key().hash())
                .setSound(update.soundUntil().isPresent());
        update.ends()
                .forEach(end -> message.addEnds(SuspectEnd.newBuilder()
                        .setTarget(end.run().target().value())
                        .setStartedAt(end.run().startedAt())
                        .setAgeNanos(now - end.at())
                        .setSentAgeNanos(now - end.sentAt())
                        .addAllRequests(end.requests())));
        update.soundUntil().ifPresent(soundUntil -> message.setSoundAgeNanos(now - soundUntil));
        update.trialUntil().ifPresent(until -> message.setTrialNanos(until - now));
        return message.build();
    }

    /** Converts a message; empty if it is malformed or from a newer version. */
    private Optional<SuspectUpdate> fromMessage(org.geraniumreach.messages.SuspectUpdate message, long now) {
        try {
            return fromMessage(message.getKind())
                    .map(kind -> new SuspectUpdate(
                            new SuspectKey(kind, message.getHash()),
                            message.getEndsList().stream()
                                    .map(end -> fromMessage(end, now))
                                    .toList(),
                            message.getSound()
                                    ? OptionalLong.of(now - positive(message.getSoundAgeNanos()))
                                    : OptionalLong.empty(),
                            message.getTrialNanos() > 0
                                    ? OptionalLong.of(now + message.getTrialNanos())
                                    : OptionalLong.empty()));
        } catch (IllegalArgumentException malformed) {
            log.write(EventCode.UNEXPECTED_FAILURE, "", Field.of("reason", malformed.getMessage()));
            return Optional.empty();
        }
    }

    private static TargetEnd fromMessage(SuspectEnd end, long now) {
        return new TargetEnd(
                new TargetRun(TargetId.of(end.getTarget()), end.getStartedAt()),
                now - positive(end.getAgeNanos()),
                now - positive(end.getSentAgeNanos()),
                Set.copyOf(end.getRequestsList()));
    }

    private static long positive(long nanos) {
        return Math.max(0, Math.min(nanos, Duration.ofDays(1).toNanos()));
    }

    private static org.geraniumreach.messages.SuspectUpdate.Kind toMessage(SuspectKey.Kind kind) {
        return switch (kind) {
            case REQUEST -> org.geraniumreach.messages.SuspectUpdate.Kind.REQUEST;
            case PROMPT_PART -> org.geraniumreach.messages.SuspectUpdate.Kind.PROMPT_PART;
        };
    }

    private static Optional<SuspectKey.Kind> fromMessage(org.geraniumreach.messages.SuspectUpdate.Kind kind) {
        return switch (kind) {
            case REQUEST -> Optional.of(SuspectKey.Kind.REQUEST);
            case PROMPT_PART -> Optional.of(SuspectKey.Kind.PROMPT_PART);
            default -> Optional.empty();
        };
    }
}
