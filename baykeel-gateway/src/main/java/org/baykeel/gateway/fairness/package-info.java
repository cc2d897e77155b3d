/** How tenants share the room while not every program may begin. */
package org.baykeel.gateway.fairness;
