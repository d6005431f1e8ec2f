// Package jyregistry holds the backend servers that register themselves, through outages of the store where they register.
package jyregistry
