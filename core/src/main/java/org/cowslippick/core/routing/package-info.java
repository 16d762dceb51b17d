/** Which requests go to which service, for whom and within what bounds: one version of the operators' configuration. */
package org.cowslippick.core.routing;
