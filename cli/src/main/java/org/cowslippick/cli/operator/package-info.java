/** The operators' subcommands, over the HTTP interface of an entry or the platform's object API. */
package org.cowslippick.cli.operator;
