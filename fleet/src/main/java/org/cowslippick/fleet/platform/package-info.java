/** The platform's object API and instance list behind one narrow interface. */
package org.cowslippick.fleet.platform;
