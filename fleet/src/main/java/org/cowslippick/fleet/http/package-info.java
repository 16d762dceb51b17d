/** What all HTTP clients share. */
package org.cowslippick.fleet.http;
