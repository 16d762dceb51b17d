/** A stand-in for a model engine, at the HTTP interface of docs/INTERFACES.md. */
package org.cowslippick.standin.engine;
