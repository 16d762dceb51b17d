/** Detects crashes of endpoints and refuses requests whose content causes them. */
package org.cowslippick.relay.crash;
