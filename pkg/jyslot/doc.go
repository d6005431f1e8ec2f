// Package jyslot chooses the backend server for a request, so that instances share the slots of all servers without coordination.
//
// Choose compares two random servers, so that instances that decide independently do not all pick the same one.
package jyslot
