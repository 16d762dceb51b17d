/** The tree of settings: reading INI, checking it whole, and looking up what an organisation inherits. */
package org.cowslippick.core.settings;
