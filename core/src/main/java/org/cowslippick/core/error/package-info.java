/** The error kinds and the response that each produces. */
package org.cowslippick.core.error;
