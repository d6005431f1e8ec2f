// Package jysoak runs instances as processes of their own, injects faults from outside them by a seeded plan, and checks the
// product's promises from what callers and backend servers see.
//
// It starts processes, which the product itself never does, and ends only those that it started.
package jysoak
