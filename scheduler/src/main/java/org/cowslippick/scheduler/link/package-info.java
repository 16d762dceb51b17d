/** The budget of the links between regions. */
package org.cowslippick.scheduler.link;
