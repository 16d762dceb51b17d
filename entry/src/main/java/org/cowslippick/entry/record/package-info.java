/** The on-time record that each organisation can read. */
package org.cowslippick.entry.record;
