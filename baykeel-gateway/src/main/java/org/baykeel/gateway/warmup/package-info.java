/** Engines that bear few requests for a while after a start. */
package org.baykeel.gateway.warmup;
