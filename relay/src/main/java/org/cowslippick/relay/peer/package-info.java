/** Communication between instances: state reports, state synchronisation, and requests for slots. */
package org.cowslippick.relay.peer;
