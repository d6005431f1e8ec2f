// Package jyplatform reads what the platform publishes: release notes and the list of instances.
package jyplatform
