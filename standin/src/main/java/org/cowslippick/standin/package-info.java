/** Stand-ins for the platform, engines and applications, the demo and the benches; not part of the product. */
package org.cowslippick.standin;
