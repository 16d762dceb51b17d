package org.cowslippick.fleet.platform;

/** Why a call to the platform failed. */
public enum PlatformFault {
    /** The object does not exist. */
    NOT_FOUND,
    /** The object exists already, or has another version. */
    CONFLICT,
    /** The watch starts at a version older than the platform's change history. */
    VERSION_TOO_OLD,
    /** The call was not carried out. */
    UNAVAILABLE,
    /** The call was sent but its response was lost, so it may have been carried out. */
    ANSWER_LOST,
    /** The value exceeds the platform's size limit. */
    TOO_LARGE
}
