/** Grants: how an entry gets leave to dispatch from the owner of a pool, wherever that is. */
package org.cowslippick.fleet.grant;
