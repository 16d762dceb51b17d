/**
 * Settings of the whole system: a single commit point in the platform, and a replica in each entry whose revision never
 * decreases.
 */
package org.cowslippick.fleet.settings;
