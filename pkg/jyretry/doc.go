// Package jyretry decides whether a failed attempt is retried, and which refusal the caller gets if it is not.
package jyretry
