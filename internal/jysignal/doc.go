// Package jysignal tells the other instances at once what this one sees of backend servers: failures to all that use a
// server, load and answers to those in the same data centre, where telling costs nothing.
package jysignal
