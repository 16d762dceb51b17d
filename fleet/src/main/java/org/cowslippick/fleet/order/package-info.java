/** Orders to endpoints, with fencing numbers from the platform's versions. */
package org.cowslippick.fleet.order;
