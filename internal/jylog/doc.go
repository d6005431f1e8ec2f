// Package jylog writes numbered, structured log events; docs/EVENTS.md is generated from its catalogue.
package jylog
