// Package jyexplain finds in the logs of several instances what became of one request, and on what beliefs that rested.
package jyexplain
