// Package jyregistry holds the backend servers that register themselves in a store, and keeps them through its outages.
package jyregistry
