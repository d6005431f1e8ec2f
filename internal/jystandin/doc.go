// Package jystandin provides test doubles for what is outside the fleet: the platform, its load balancer, and backend servers
// with injected faults.
package jystandin
