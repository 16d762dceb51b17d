/** Request handling at the entry, from admission to the receipt. */
package org.cowslippick.entry.request;
