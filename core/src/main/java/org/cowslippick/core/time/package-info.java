/** The timer service that every part subscribes to. */
package org.cowslippick.core.time;
