/** A site in one process: a stand-in platform, and entries that find each other through it. */
package org.cowslippick.standin.site;
