/** Where nodes and engines are, and how far one place is from another. */
package org.baykeel.gateway.topology;
