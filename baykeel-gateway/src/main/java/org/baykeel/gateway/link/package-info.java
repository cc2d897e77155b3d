/**
 * Connections between nodes: calls that one node makes in place of another, and what it hands over.
 */
package org.baykeel.gateway.link;
