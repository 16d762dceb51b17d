package org.cowslippick.fleet.platform;

/** Why a call to the platform gave no result. */
public enum PlatformFault {
    /** The object does not exist. */
    NOT_FOUND,
    /** The object exists already, or its version is another one. */
    CONFLICT,
    /** The watch starts at a version that the platform no longer remembers. */
    VERSION_TOO_OLD,
    /** The call was certainly not carried out. */
    UNAVAILABLE,
    /** The call was sent, but no answer came: it may have been carried out. */
    ANSWER_LOST,
    /** The value is over the platform's size limit. */
    TOO_LARGE
}
