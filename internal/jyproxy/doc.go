// Package jyproxy answers callers: it admits their requests, sends them to backend servers, and tells each caller its outcome.
package jyproxy
