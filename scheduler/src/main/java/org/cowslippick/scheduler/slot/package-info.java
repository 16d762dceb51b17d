/**
 * Slots of the endpoints of one service: which waiting request goes next, to which endpoint, and which request is told
 * to come back later. All decisions are functions of their arguments; time is one of them.
 */
package org.cowslippick.scheduler.slot;
