/** The entry process: starts its parts, and stops them in order. */
package org.cowslippick.entry.daemon;
