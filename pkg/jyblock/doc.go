// Package jyblock detects requests that crash the backend servers that run them, and blocks these requests.
package jyblock
