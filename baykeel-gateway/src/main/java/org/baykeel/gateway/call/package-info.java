/** One request from its arrival to its final answer: attempts, deadlines, resumption, refusal. */
package org.baykeel.gateway.call;
