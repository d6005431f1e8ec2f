// Package jyslot decides which backend server gets a request, so that the slots of all are shared without a word between instances.
package jyslot
