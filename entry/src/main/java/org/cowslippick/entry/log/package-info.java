/** Logging configuration and format of the entry process. */
package org.cowslippick.entry.log;
