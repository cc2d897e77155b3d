/** In which regions a request may run, be cached and be kept. */
package org.baykeel.gateway.residency;
