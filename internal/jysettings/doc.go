// Package jysettings reads and checks the INI settings of an instance; docs/SETTINGS.md is generated from its table of keys.
package jysettings
