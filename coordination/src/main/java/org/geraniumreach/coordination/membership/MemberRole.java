package org.geraniumreach.coordination.membership;

/** What an instance does. */
public enum MemberRole {
    ENTRY,
    COMPANION
}
