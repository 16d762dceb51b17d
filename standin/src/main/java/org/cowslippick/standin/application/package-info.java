/** A stand-in for an application engine that serves the HTTP interface of docs/INTERFACES.md. */
package org.cowslippick.standin.application;
