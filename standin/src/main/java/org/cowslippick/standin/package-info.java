/** Small stand-ins of the platform, engines and applications, the demo and the benches; never part of the product. */
package org.cowslippick.standin;
