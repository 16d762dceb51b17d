/** Settings of the whole system: one commit point in the platform, and a replica in each entry that never goes back. */
package org.cowslippick.fleet.settings;
