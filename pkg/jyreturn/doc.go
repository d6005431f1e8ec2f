// Package jyreturn decides after how long the caller of a refused request should come back.
//
// A Planner belongs to one service. Its After returns the time for one refusal. A Pace measures how many requests an instance ends
// per second, for refusals that concern the instance itself.
package jyreturn
