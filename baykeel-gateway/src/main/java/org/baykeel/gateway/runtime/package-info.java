/** Clock and timers as an interface, so that tests and simulations can control time. */
package org.baykeel.gateway.runtime;
