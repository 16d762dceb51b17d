/** Blocking HTTP calls over Ratpack's client, for the command line and the caller library. */
package org.cowslippick.cli.http;
