/** The routing configuration: routes, services, organisations and caller limits. */
package org.cowslippick.core.routing;
