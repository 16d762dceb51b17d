/** A small library for callers: asks for addresses, sends requests, reads answers, streams and receipts. */
package org.cowslippick.cli.client;
