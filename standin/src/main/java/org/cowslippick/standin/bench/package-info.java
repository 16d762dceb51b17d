/** Benches that compare the policy of cowslippick with a naive policy under the same load. */
package org.cowslippick.standin.bench;
