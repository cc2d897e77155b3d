/** How a program's soft state moves between nodes, so that the store need not be asked for it. */
package org.baykeel.gateway.handover;
