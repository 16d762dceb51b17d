/** Which endpoints probably hold the key-value cache of which prompt prefixes. */
package org.cowslippick.scheduler.prefix;
