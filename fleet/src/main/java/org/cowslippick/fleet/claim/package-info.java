/** Claims: the identity of a request is claimed before it is dispatched, so that it is dispatched at most once. */
package org.cowslippick.fleet.claim;
