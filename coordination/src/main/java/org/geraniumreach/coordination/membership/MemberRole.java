package org.geraniumreach.coordination.membership;

/** The role of an instance. */
public enum MemberRole {
    ENTRY,
    COMPANION
}
