/** The command line: subcommands with their options, output and exit codes. */
package org.cowslippick.cli;
