/** A stand-in for a model engine that serves the HTTP interface of docs/INTERFACES.md. */
package org.cowslippick.standin.engine;
