/**
 * Roll-outs of versions: how many requests of a service reach a new version of its endpoints, and when it replaces the
 * old one. Time is an argument; nothing here does I/O.
 */
package org.cowslippick.scheduler.rollout;
