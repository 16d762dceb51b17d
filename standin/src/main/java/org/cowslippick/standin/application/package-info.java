/** A stand-in for an application engine, at the HTTP interface of docs/INTERFACES.md. */
package org.cowslippick.standin.application;
