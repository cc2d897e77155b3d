/** Time and timers, injected so that tests and simulations drive them. */
package org.baykeel.gateway.runtime;
