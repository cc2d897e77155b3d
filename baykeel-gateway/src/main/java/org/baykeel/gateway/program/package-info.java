/** What identifies a program. */
package org.baykeel.gateway.program;
