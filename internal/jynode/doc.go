// Package jynode puts the services of one entry instance together and runs them.
package jynode
