/** What is believed of the prompt prefixes in the key-value caches of endpoints. */
package org.cowslippick.scheduler.prefix;
