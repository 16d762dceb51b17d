/** The platform's object API and instance list behind one interface. */
package org.cowslippick.fleet.platform;
