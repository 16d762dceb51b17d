/** An HTTP client on top of Ratpack's, for the command line and the caller library. */
package org.cowslippick.cli.http;
