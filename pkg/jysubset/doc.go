// Package jysubset decides which backend servers of a service an instance connects to, so that even in a large fleet no
// server gets more connections than it accepts.
//
// PlanFor returns how many servers to use, and Rank in which order. Every instance computes both for itself.
package jysubset
