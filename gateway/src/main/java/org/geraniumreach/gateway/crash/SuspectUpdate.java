package org.geraniumreach.gateway.crash;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * What one entry tells the others of a suspect; times are on the clock of the entry that holds this object.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key the suspect
 * @param ends the ends of targets with it that no answer has cleared
 * @param soundUntil the time until which an answer that went on has cleared it, in nanoseconds, empty if none has
 * @param trialUntil until when a trial of it may last, in nanoseconds, empty if there is none
 */
public record SuspectUpdate(SuspectKey key, List<TargetEnd> ends, OptionalLong soundUntil, OptionalLong trialUntil) {

    public SuspectUpdate {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(soundUntil, "soundUntil");
        Objects.requireNonNull(trialUntil, "trialUntil");
        ends = List.copyOf(ends);
    }

    static SuspectUpdate ofEnd(SuspectKey key, TargetEnd end) {
        return new SuspectUpdate(key, List.of(end), OptionalLong.empty(), OptionalLong.empty());
    }

    static SuspectUpdate ofSound(SuspectKey key, long soundUntil) {
        return new SuspectUpdate(key, List.of(), OptionalLong.of(soundUntil), OptionalLong.empty());
    }

    static SuspectUpdate ofTrial(SuspectKey key, long trialUntil) {
        return new SuspectUpdate(key, List.of(), OptionalLong.empty(), OptionalLong.of(trialUntil));
    }
}
