/**
 * Backpressure for callers that read slowly: counts the bytes held for them and pauses the engine
 * responses that add to them. There is a count per connection and one per node, which is their sum.
 * The HTTP front end and the calls update them on the event loop.
 */
package org.baykeel.gateway.buffering;
