package org.geraniumreach.model;

/**
 * The numbered log events, which docs/EVENTS.md lists.
 *
 * <p>Invariant: a number is never reused for another event. Ranges: 1xxx process; 2xxx configuration and membership; 3xxx
 * budget; 4xxx requests; 5xxx targets and adapters; 6xxx links; 7xxx platform; 9xxx internal faults.
 */
public enum EventCode {
    STARTING(1001, Level.INFO, "The process starts."),
    READY(1002, Level.INFO, "The process is ready for work."),
    NOT_READY(1003, Level.WARN, "The process is not ready for work."),
    DRAINING(1004, Level.INFO, "The process leaves: it takes no new work and finishes what runs."),
    DRAINED(1005, Level.INFO, "The last work is finished; the process ends."),
    DRAIN_CUT(1006, Level.WARN, "The drain ended by its deadline or a second signal, and work was cut off."),
    SETTINGS_INVALID(1007, Level.ERROR, "The settings are wrong."),
    SETTINGS_READ(1008, Level.INFO, "The settings were read again."),
    LOOP_DELAYED(1009, Level.WARN, "The event loop has run a timer late; requests were not handled meanwhile."),
    CONFIGURATION_ADVANCED(2001, Level.INFO, "A newer configuration is in force."),
    RECORD_UNREADABLE(2002, Level.WARN, "A record cannot be read, and is as if withdrawn."),
    SUBMISSION_ACCEPTED(2003, Level.INFO, "An operator's submission was accepted."),
    SUBMISSION_REFUSED(2004, Level.INFO, "An operator's submission was refused."),
    NOT_FRESH(2005, Level.WARN, "The configuration cannot be confirmed as current, and requests are refused."),
    FRESH_AGAIN(2006, Level.INFO, "The configuration is confirmed as current again."),
    INSTANCE_JOINED(2007, Level.INFO, "An instance was listed or connected."),
    INSTANCE_LEFT(2008, Level.INFO, "An instance left or is leaving."),
    SNAPSHOT_FROM_PEER(2009, Level.INFO, "The configuration was taken from a peer."),
    SHARE_CHANGED(3001, Level.INFO, "The share of a client account's budget held here has changed."),
    SHARE_LAPSED(3002, Level.WARN, "The shares held here are no longer proved; nothing is admitted from them."),
    LOAN_GIVEN(3003, Level.DEBUG, "Budget was lent to another entry."),
    LOAN_TAKEN(3004, Level.DEBUG, "Budget was borrowed from another entry."),
    REQUEST_REFUSED(4001, Level.DEBUG, "A request was refused."),
    REQUEST_FAILED(4002, Level.WARN, "A request failed after it was sent."),
    OUTCOME_UNKNOWN(4003, Level.WARN, "A request that may run once only has an unknown outcome."),
    WRONG_ADAPTER_SERVED(4004, Level.ERROR, "A target ran another adapter or version; its answer was withheld."),
    ATTEMPT_RETRIED(4005, Level.DEBUG, "A request is tried again elsewhere."),
    ATTEMPT_RESUMED(4006, Level.INFO, "An answer goes on over a new connection."),
    STREAMS_CANCELLED(4007, Level.INFO, "Running requests of a withdrawn key were cancelled."),
    REQUEST_PLACED(4008, Level.INFO, "A request is sent to a target."),
    ATTEMPT_NOT_EXECUTED(4009, Level.INFO, "A target has not run a request and will not."),
    ATTEMPT_FAILED(4010, Level.WARN, "A request that was sent to a target got no whole answer from it."),
    CALLER_GONE(4011, Level.INFO, "A caller went away before its answer was whole."),
    REQUEST_ANSWERED(4012, Level.INFO, "A target's answer was passed on whole."),
    REQUEST_UNREADABLE(4013, Level.INFO, "A caller's message is no request that can be read."),
    TARGET_SLOWDOWN_MALFORMED(
            4014, Level.WARN, "A target's answer reports a slowdown that makes no sense; it is ignored."),
    RETRY_DENIED(4016, Level.INFO, "A request may not be sent once more, and ends."),
    ADMISSION_DECIDED(4015, Level.DEBUG, "The owner of a target has decided on a request for its turn there."),
    STREAM_RESUMPTION_DECIDED(
            4017, Level.INFO, "Whether a stream that a caller takes up again goes on, and at which software version."),
    STREAM_ORIGIN_NOT_RECORDED(
            4018, Level.WARN, "No other entry has recorded in time which software version began a stream."),
    SUSPECT_DECIDED(
            4019,
            Level.INFO,
            "Whether a request is sent although targets have ended under it or a part of its prompt."),
    SUSPECT_REFUSED(
            4020,
            Level.WARN,
            "Targets ended under a request or prompt part again and again; it is refused for a while."),
    SUSPECT_CLEARED(
            4021,
            Level.INFO,
            "A request or prompt part that was refused has ended no target since; it is sent as usual."),
    CONNECTIONS_LIMITED(
            4022, Level.WARN, "Requests wait too long for the event loop; some new connections are closed unread."),
    CONNECTIONS_UNLIMITED(4023, Level.INFO, "All new connections are accepted again."),
    ATTEMPT_SILENT(4024, Level.INFO, "A target has sent nothing of an answer for a while; another may take it over."),
    ATTEMPT_KEPT(4025, Level.INFO, "A request stays at its silent target, since no other may take it over now."),
    CONNECTION_CLOSED(
            4026,
            Level.INFO,
            "A caller's connection was closed on which a request was arriving or had no whole answer."),
    WRITE_FORBIDDEN(4027, Level.ERROR, "A request was about to be written to a target though it might have run twice."),
    WRITE_OMITTED(
            4028,
            Level.INFO,
            "A request was not written: its time is up, its caller has left, or the target may not get it any more."),
    FENCE_READ_AFTER_PAUSE(
            4032, Level.INFO, "A paused companion has read its fence; its requests go on or are refused."),
    ATTEMPT_RETURNED(
            4033, Level.INFO, "A request that has not run goes back to its silent target; no other may take it."),
    DRAIN_DECIDED(4034, Level.INFO, "A request is not sent by an entry that drains, since it may outlast it."),
    SURPLUS_ANSWER(4035, Level.INFO, "A target has answered a request once more, or one that did not wait for it."),
    REJECTED_REQUEST_RAN(
            4036, Level.ERROR, "An answer proves that a target ran a request that had counted as not executed."),
    WRITE_DELAYED(4037, Level.INFO, "A request was written to a target some time after it had been placed there."),
    ADAPTER_LOADED(5001, Level.DEBUG, "An adapter was loaded."),
    ADAPTER_LOAD_FAILED(5002, Level.WARN, "An adapter could not be loaded."),
    ADAPTER_EVICTED(5003, Level.DEBUG, "An adapter was evicted."),
    ENGINE_RESTARTED(5004, Level.WARN, "The engine has restarted; nothing is resident."),
    ENGINE_UNREACHABLE(5005, Level.WARN, "The target does not answer."),
    FENCE_TAKEN(5006, Level.INFO, "This companion has taken its fence."),
    FENCED_OUT(5007, Level.ERROR, "A newer companion has taken over the target."),
    TARGET_EJECTED(5008, Level.WARN, "A target is left out for a while after failures."),
    TARGET_RESTORED(5009, Level.INFO, "A target is used again."),
    HOLDER_CHANGED(5010, Level.INFO, "Another entry may order a target now."),
    ORDER_ANSWERED(5011, Level.INFO, "A target was ordered to load or unload."),
    TARGET_JOINED(5012, Level.INFO, "A target is new, or has started again."),
    TARGET_LEFT(5013, Level.INFO, "A target is gone or takes no new work."),
    ADAPTER_VERSION_NAMED(5014, Level.INFO, "A newer version of an adapter is to be served."),
    DOMAIN_EVACUATED(
            5015, Level.INFO, "The operator has evacuated a failure domain; its targets get nothing more soon."),
    DOMAIN_TAKEN_BACK(5016, Level.INFO, "The targets of an evacuated failure domain are used again."),
    TARGET_COLD(5017, Level.INFO, "A target has not warmed up; it gets few requests."),
    TARGET_LIMITED(5018, Level.INFO, "A target names how many requests it takes from all entries together."),
    TARGET_LIMIT_ENDED(5019, Level.INFO, "A target names no limit any more."),
    TARGET_LIMIT_REACHED(5020, Level.DEBUG, "A request may not be sent to a target now, since its limit is reached."),
    TARGET_RESTING(5021, Level.INFO, "A target has refused a call and asked for rest; it gets nothing meanwhile."),
    TARGET_LEAVING(5022, Level.INFO, "A target has said in an answer that it leaves; it gets no new requests."),
    TARGET_HEAD_MALFORMED(5023, Level.WARN, "A target's answer has a head that cannot be read in part; it is ignored."),
    TARGET_SPEED_CHANGED(5024, Level.INFO, "The owner of a target has learnt another prefill rate of it."),
    SOFTWARE_VERSIONS_CHANGED(5025, Level.INFO, "The list of a service's software versions has changed."),
    TARGET_ENDED(5026, Level.WARN, "A target has ended while requests had not been answered there."),
    LEASE_RESUMED(5027, Level.INFO, "The lease is renewed after a lapse; what this entry owns is read again."),
    TARGET_DEPARTED(5031, Level.INFO, "An incarnation of a target leaves or has left; the cause is what shows it."),
    TARGET_REMOVAL_HELD(
            5032,
            Level.INFO,
            "A target's row has gone in an outage of the store; the target is used for some seconds."),
    TARGET_RETURN_DOUBTED(
            5033,
            Level.INFO,
            "A target that has left writes its row again; it gets nothing until it proves to be alive."),
    TARGET_RETURNED(5034, Level.INFO, "Heartbeats since the removal of its row prove that a target is alive."),
    LINK_OPENED(6001, Level.DEBUG, "A link to a peer is open."),
    LINK_LOST(6002, Level.WARN, "A link to a peer was lost or went silent."),
    FRAME_REFUSED(6003, Level.WARN, "A peer sent what is not a frame; the link was closed."),
    PLATFORM_UNREACHABLE(7001, Level.WARN, "The table service, object store or instance list does not answer."),
    PLATFORM_REACHABLE(7002, Level.INFO, "The table service, object store or instance list answers again."),
    WRITE_SETTLED(7003, Level.INFO, "A write whose answer was lost was settled by reading."),
    ROW_UNREADABLE(7006, Level.WARN, "A row of the store cannot be read, and is left out."),
    ROWS_OUTDATED(
            7007, Level.WARN, "Rows are older than allowed when a request needs them, and the store is not away."),
    LOG_LINES_DROPPED(9003, Level.WARN, "The log was full; lines were dropped."),
    UNEXPECTED_FAILURE(9001, Level.ERROR, "A fault of the system."),
    LIBRARY_MESSAGE(9002, Level.WARN, "A library reports something out of the ordinary.");

    private final int number;
    private final Level level;
    private final String meaning;

    EventCode(int number, Level level, String meaning) {
        this.number = number;
        this.level = level;
        this.meaning = meaning;
    }

    /** The log level of an event. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    public int number() {
        return number;
    }

    public Level level() {
        return level;
    }

    public String meaning() {
        return meaning;
    }
}
