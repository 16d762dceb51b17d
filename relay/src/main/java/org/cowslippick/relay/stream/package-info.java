/** Finds the software version that has begun a stream, so that only this version resumes it. */
package org.cowslippick.relay.stream;
