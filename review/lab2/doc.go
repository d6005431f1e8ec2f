//go:build review2

// Command lab2 plays the cases of the second review: it starts instances with the command of the deploy file, on loopback addresses, in
// front of a stand-in of the platform's store and small backend servers, and checks what clients and servers saw.
package main
