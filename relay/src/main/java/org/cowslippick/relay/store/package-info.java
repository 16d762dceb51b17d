/** Objects of the project's own in the operators' store, without the form in which the store speaks. */
package org.cowslippick.relay.store;
