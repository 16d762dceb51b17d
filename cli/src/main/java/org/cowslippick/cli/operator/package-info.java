/** The operators' subcommands, over the interface of an entry or over the platform's object API. */
package org.cowslippick.cli.operator;
