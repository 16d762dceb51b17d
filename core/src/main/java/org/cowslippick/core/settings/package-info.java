/** The settings of entries and the settings tree: INI parsing, validation and inheritance. */
package org.cowslippick.core.settings;
