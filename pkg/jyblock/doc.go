// Package jyblock finds requests that end the backend servers that run them, and blocks them.
package jyblock
