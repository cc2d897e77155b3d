/**
 * Requests under which engines end: follows the runs of requests at engines beyond their attempts,
 * finds out which engines ended while they ran which requests, shares both among the nodes, and
 * keeps a request from further engines while three of them have ended or may still end under it.
 *
 * <p>{@link org.baykeel.gateway.quarantine.Quarantine} is what calls use. Ends are evidence ({@code
 * EngineEndDetector}, {@code EngineEndHistory}, {@code BlameAssessment}), runs are tracked ({@code
 * RunTracker}, {@code RunLedger}), and both count in {@code RequestExposure}.
 */
package org.baykeel.gateway.quarantine;
