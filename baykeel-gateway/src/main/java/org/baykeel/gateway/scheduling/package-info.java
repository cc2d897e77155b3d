/** Which service and which engine a request goes to. */
package org.baykeel.gateway.scheduling;
