/** The clients of model engines and application engines. */
package org.cowslippick.entry.endpoint;
