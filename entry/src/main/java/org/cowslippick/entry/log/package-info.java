/** How the log of an entry process looks. */
package org.cowslippick.entry.log;
