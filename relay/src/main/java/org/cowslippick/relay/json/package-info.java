/** JSON that other writers contributed to. */
package org.cowslippick.relay.json;
