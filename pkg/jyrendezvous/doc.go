// Package jyrendezvous ranks names for a key by highest random weight (rendezvous hashing), so that all instances that know the
// same names agree on the order without coordination.
//
// Top returns the first names of the ranking, and Weight the number that it ranks by. All instances must compute the same weights.
package jyrendezvous
