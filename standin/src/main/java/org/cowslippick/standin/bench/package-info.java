/** Benches that compare the policy of cowslippick with a naive one under the same load. */
package org.cowslippick.standin.bench;
