// Package jylog writes numbered, structured log events to klog. docs/EVENTS.md is generated from its catalogue of events.
package jylog
