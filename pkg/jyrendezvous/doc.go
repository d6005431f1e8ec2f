// Package jyrendezvous ranks names for a key by highest random weight, so that all who know the same names agree without a word.
package jyrendezvous
