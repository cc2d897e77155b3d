/** The other nodes: who they are, and what they tell each other about engines. Soft state only. */
package org.baykeel.gateway.peer;
