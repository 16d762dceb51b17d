/** The HTTP interface of an entry, built on Ratpack, for callers, operators, metrics and health checks. */
package org.cowslippick.entry.http;
