// Package jyload sends an open-loop load to instances, checks each answer against its request, and checks the reported outcomes
// against the effects that stand-in backend servers counted.
package jyload
