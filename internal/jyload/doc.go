// Package jyload sends an open-loop load to entry instances and checks each answer against its request.
package jyload
