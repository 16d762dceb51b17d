/** The demo: a small site in one process. */
package org.cowslippick.standin.demo;
