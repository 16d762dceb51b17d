/** What a pool learns of each endpoint from its answers: speed, admission window and health. */
package org.cowslippick.scheduler.endpoint;
