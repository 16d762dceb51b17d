/** Finds requests that crash the endpoints that run them and keeps them away from further ones. */
package org.cowslippick.scheduler.quarantine;
