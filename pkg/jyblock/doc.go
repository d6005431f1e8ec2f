// Package jyblock detects requests that crash the backend servers that run them, and blocks these requests.
//
// Start with New. Check each request with IsBlocked, and report answers with RecordAnswer and crashes with RecordCrash. Merge
// applies what another instance recorded.
package jyblock
