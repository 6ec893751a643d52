package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.Slowdown;
import org.geraniumreach.gateway.speed.LearntTargetSpeeds;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.speed.SpeedPeers;
import org.geraniumreach.gateway.speed.SpeedReport;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.TargetSpeedSample;
import org.geraniumreach.messages.TargetSpeedSamples;
import org.geraniumreach.messages.TargetSpeedUpdate;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;

/**
 * Exchanges the speeds of targets with the other entries.
 *
 * <p>Confined to the event loop.
 */
final class TargetSpeedLinks implements SpeedPeers {

    /** Stands for a slowdown that was not reported. */
    private static final double NO_SLOWDOWN = 0;

    /** Targets of one service differ by far less. */
    private static final double MAXIMUM_RELATIVE_RATE = 100;

    private static final double MINIMUM_RELATIVE_RATE = 1 / MAXIMUM_RELATIVE_RATE;

    private final LearntTargetSpeeds speeds;
    private final EntryLinks links;
    private final DecisionLog log;

    private TargetSpeedLinks(LearntTargetSpeeds speeds, EntryLinks links, DecisionLog log) {
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.links = Objects.requireNonNull(links, "links");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Connects the speeds that this entry learns to the other entries. */
    static void connect(LearntTargetSpeeds speeds, EntryLinks links, DecisionLog log) {
        TargetSpeedLinks speedLinks = new TargetSpeedLinks(speeds, links, log);
        speeds.setPeers(speedLinks);
        links.onSpeed(new EntryLinks.SpeedHandler(speedLinks::sendAll, speedLinks::onUpdate, speedLinks::onSamples));
    }

    @Override
    public boolean sendReport(String owner, Target target, SpeedReport report) {
        return links.sendSpeed(owner, toFrame(target, report));
    }

    @Override
    public void publish(Target target, double relativeRate) {
        links.sendSpeedToAll(toFrame(target, relativeRate));
    }

    /** Sends the rates of all targets of this entry to an entry, which may have missed them. */
    private void sendAll(String entry) {
        speeds.forEachOwnRate((target, relativeRate) -> links.sendSpeed(entry, toFrame(target, relativeRate)));
    }

    private void onUpdate(TargetSpeedUpdate update) {
        double rate = update.getRelativeRate();
        if (!(rate >= MINIMUM_RELATIVE_RATE) || !(rate <= MAXIMUM_RELATIVE_RATE)) {
            logMalformed(update.getTarget(), "relative rate " + rate);
            return;
        }
        toTargetId(update.getTarget()).ifPresent(id -> speeds.onPublished(id, update.getStartedAt(), rate));
    }

    private void onSamples(TargetSpeedSamples message) {
        toTargetId(message.getTarget()).ifPresent(id -> toReport(message)
                .ifPresent(report -> speeds.onReport(id, message.getStartedAt(), report)));
    }

    static Frame toFrame(Target target, double relativeRate) {
        TargetSpeedUpdate update = TargetSpeedUpdate.newBuilder()
                .setTarget(target.id().value())
                .setStartedAt(target.description().startedAt())
                .setRelativeRate(relativeRate)
                .build();
        return Frame.newBuilder().setTargetSpeedUpdate(update).build();
    }

    static Frame toFrame(Target target, SpeedReport report) {
        TargetSpeedSamples.Builder samples = TargetSpeedSamples.newBuilder()
                .setTarget(target.id().value())
                .setStartedAt(target.description().startedAt())
                .setSlowdown(toFactor(report.figure().map(SpeedReport.Figure::slowdown)))
                .setSlowdownAgeNanos(
                        report.figure().map(figure -> figure.age().toNanos()).orElse(0L));
        report.samples()
                .forEach(sample -> samples.addSamples(TargetSpeedSample.newBuilder()
                        .setEventIntervalNanos(sample.eventInterval().toNanos())));
        return Frame.newBuilder().setTargetSpeedSamples(samples).build();
    }

    private static double toFactor(Optional<Slowdown> slowdown) {
        return slowdown.map(Slowdown::factor).orElse(NO_SLOWDOWN);
    }

    /** Converts a message; empty if it is malformed. */
    private Optional<SpeedReport> toReport(TargetSpeedSamples message) {
        try {
            Optional<SpeedReport.Figure> figure = toSlowdown(message.getSlowdown())
                    .map(slowdown -> new SpeedReport.Figure(slowdown, Duration.ofNanos(message.getSlowdownAgeNanos())));
            return Optional.of(new SpeedReport(
                    message.getSamplesList().stream()
                            .map(TargetSpeedLinks::toSample)
                            .toList(),
                    figure));
        } catch (IllegalArgumentException malformed) {
            logMalformed(message.getTarget(), malformed.getMessage());
            return Optional.empty();
        }
    }

    private static PaceSample toSample(TargetSpeedSample sample) {
        return new PaceSample(Duration.ofNanos(sample.getEventIntervalNanos()));
    }

    private static Optional<Slowdown> toSlowdown(double factor) {
        return factor == NO_SLOWDOWN ? Optional.empty() : Optional.of(new Slowdown(factor));
    }

    private Optional<TargetId> toTargetId(String target) {
        try {
            return Optional.of(TargetId.of(target));
        } catch (IllegalArgumentException malformed) {
            logMalformed(target, malformed.getMessage());
            return Optional.empty();
        }
    }

    private void logMalformed(String target, String reason) {
        log.write(EventCode.UNEXPECTED_FAILURE, target, Field.of("reason", reason));
    }
}
