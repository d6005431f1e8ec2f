// Package jyblock detects requests that crash the backend servers that run them, and blocks these requests.
//
// Start with New. Check each request with IsBlocked, and report crashes with RecordCrash and answers, which end
// suspicions and blocks, with RecordAnswer. Merge
// applies what another instance recorded.
package jyblock
