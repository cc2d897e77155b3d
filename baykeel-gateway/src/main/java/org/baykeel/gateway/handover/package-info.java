/**
 * Transfers a program's soft state between nodes, so that the store need not be queried for it.
 * Each node holds in memory which node served the programs last for which it is registrar. The
 * budget and history packages request state through it; a lost or wrong entry costs a call to the
 * store.
 */
package org.baykeel.gateway.handover;
