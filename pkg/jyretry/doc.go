// Package jyretry decides whether a failed attempt is retried, and which refusal the caller gets if it is not.
//
// Decide applies the rules to one failed attempt. A Budget bounds the retries of a service, a Ration keeps scarce
// ones for the requests of higher rank, and Backoff returns for how long an
// instance avoids a backend server after lost connections.
package jyretry
