/** Orders of roll-outs and their status in the form in which a store holds them. */
package org.cowslippick.relay.rollout;
