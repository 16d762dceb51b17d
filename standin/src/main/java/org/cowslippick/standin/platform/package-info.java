/** A stand-in of the platform's object API and instance list, over HTTP, with switches for its faults. */
package org.cowslippick.standin.platform;
