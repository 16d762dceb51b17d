/** What is known of the software versions that have begun streams, which only the same version can resume. */
package org.cowslippick.scheduler.stream;
