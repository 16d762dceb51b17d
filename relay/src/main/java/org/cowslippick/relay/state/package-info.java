/** What this instance believes of the world: endpoints, other instances, and how sure it is of either. */
package org.cowslippick.relay.state;
