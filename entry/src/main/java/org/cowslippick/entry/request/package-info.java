/** The life of a request at its entry, from admission to the receipt. */
package org.cowslippick.entry.request;
