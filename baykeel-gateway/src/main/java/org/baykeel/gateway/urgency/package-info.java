/** In which order engines are to take the requests that wait for them. */
package org.baykeel.gateway.urgency;
