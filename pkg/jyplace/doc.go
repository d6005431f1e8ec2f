// Package jyplace chooses the backend server with the lowest expected loss for a request, where loss comes from failures,
// load shedding, late answers and distance.
//
// Choose picks a server among the Candidates of one request. The rule of a Coverage says which servers are due trials,
// because they got no request recently, and a ShedModel estimates the ShedChance of a candidate.
package jyplace
