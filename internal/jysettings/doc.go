// Package jysettings reads and validates the INI settings of an instance. docs/SETTINGS.md is generated from its table of keys.
package jysettings
