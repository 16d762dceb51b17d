/** A site in one process: a stand-in platform and the entries that discover each other through it. */
package org.cowslippick.standin.site;
