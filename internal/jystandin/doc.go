// Package jystandin stands in for what is outside the fleet: the platform, its balancer, and backend servers with faults on command.
package jystandin
