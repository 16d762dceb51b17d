/** Grants: permission to dispatch a request, which an entry obtains from the owner of a pool. */
package org.cowslippick.fleet.grant;
