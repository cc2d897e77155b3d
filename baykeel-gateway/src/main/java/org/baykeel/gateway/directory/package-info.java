/** The engines that can serve, and what this process has learnt about each by using it. */
package org.baykeel.gateway.directory;
