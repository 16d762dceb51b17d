/**
 * The state that this instance knows: endpoints, other instances, the configuration, and how recent each of them is.
 */
package org.cowslippick.relay.state;
