// Package jyring provides a bounded queue between goroutines, which drops the oldest items instead of blocking.
package jyring
