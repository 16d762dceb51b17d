/** Placeholder. */
package org.cowslippick.cli;
