/** The HTTP interface of an entry, by Ratpack: callers, operators, metrics and health. */
package org.cowslippick.entry.door;
