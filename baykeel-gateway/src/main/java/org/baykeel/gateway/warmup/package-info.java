/**
 * Engines that can take only few requests for a while after a start. {@link
 * org.baykeel.gateway.warmup.WarmupPolicy} is one of the policies of each engine selection and
 * holds the cold engines and this node's latest requests to them. It keeps the requests of all
 * nodes to a cold engine within a bound.
 */
package org.baykeel.gateway.warmup;
