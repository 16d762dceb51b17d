/** A stand-in for the object store and the instance list of the platform, over HTTP, with fault injection. */
package org.cowslippick.standin.platform;
