/** Claims: a request's identity is claimed before dispatch, so that the request is dispatched at most once. */
package org.cowslippick.fleet.claim;
