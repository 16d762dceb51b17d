/** What instances tell each other: reports of their state, and the asking for and granting of slots. */
package org.cowslippick.relay.peer;
