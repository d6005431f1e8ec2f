// Package jywhere explains where a request would be sent now, and why, from what an instance knows. It decides nothing and changes
// nothing: Explain computes the Answer from the Facts.
package jywhere
