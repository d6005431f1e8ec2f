// Package jybelief estimates how likely a backend server is to fail at this moment, from the outcomes of single requests.
//
// It is made for servers that turn gray for seconds at a time: a gray server fails most requests. The estimate is a
// Bayesian filter over two states, healthy and gray, between which a server changes at fixed rates. One early failure is
// enough to make a server likely gray; without further outcomes, the estimate returns to the prior.
//
// Start with DefaultConfig and a zero Belief for each server. For each outcome, replace the belief by the result of Observe, and
// read GrayChance or FailChance. A Config and a Belief are plain values: methods do not modify them.
package jybelief
