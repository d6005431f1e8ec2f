// Package jysoak runs instances as separate processes, injects faults from outside by a seeded plan, and checks the product's
// guarantees against what callers and backend servers observe.
//
// Unlike the product, it starts processes; it signals only those that it started.
package jysoak
