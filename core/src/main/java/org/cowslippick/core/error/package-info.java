/** The closed list of error kinds and the table from kind to answer. */
package org.cowslippick.core.error;
