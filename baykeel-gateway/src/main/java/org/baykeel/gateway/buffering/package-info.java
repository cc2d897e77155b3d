/**
 * What is held for callers that read slowly, and which answers are read no further because of it.
 */
package org.baykeel.gateway.buffering;
