// Package jyrelease brings release notes into force: it watches the configuration service, and passes on and takes over what is in force at peers.
package jyrelease
