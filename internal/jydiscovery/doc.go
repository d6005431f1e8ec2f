// Package jydiscovery watches a read-only store for the configuration that operators publish and the backend servers that
// register themselves. Instances of a data centre can watch one of them in place of the store. Discovery.Run passes each new
// state to Config.OnState.
package jydiscovery
