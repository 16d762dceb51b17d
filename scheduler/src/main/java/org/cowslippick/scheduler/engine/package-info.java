/** What is known of single engines: their speed, the load of their machine and the use of their memory. */
package org.cowslippick.scheduler.engine;
