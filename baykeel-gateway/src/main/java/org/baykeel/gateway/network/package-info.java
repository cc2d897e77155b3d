/** Network addresses as they occur in documents and messages. */
package org.baykeel.gateway.network;
