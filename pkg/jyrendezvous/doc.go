// Package jyrendezvous ranks names for a key by highest random weight (rendezvous hashing), so that all instances that know the
// same names agree on the order without coordination.
package jyrendezvous
