// Package jyconnection decides when a caller's connection may be closed, so that no request is passed on whose answer could not be
// sent any more.
//
// Report to a Connection what is read from it and each request that is about to be passed on. It says whether a wish to close the
// connection can be met at once, or has to wait until what was read is answered.
package jyconnection
