// Package jyaccountquota decides which requests of client accounts are within their quotas, where all instances of a fleet share a
// quota and no instance asks another before a request.
//
// Each instance mirrors the token bucket of every account in use. Its own admissions count at once, those of others when they are
// observed. The level may fall below zero by what was not known yet; nothing is admitted until that debt is refilled.
package jyaccountquota
