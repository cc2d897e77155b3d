/** The operator's configuration as this product sees it: routes, services and request limits. */
package org.baykeel.gateway.configuration;
