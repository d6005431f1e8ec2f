// Package jyslot chooses the backend server for a request, so that instances share the slots of all servers without coordination.
package jyslot
