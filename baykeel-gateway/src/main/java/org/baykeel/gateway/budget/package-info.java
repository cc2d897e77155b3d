/** Token budgets of programs, granted from the store before tokens are handed out. */
package org.baykeel.gateway.budget;
