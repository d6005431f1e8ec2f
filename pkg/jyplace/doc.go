// Package jyplace chooses the backend server at which a request is expected to lose least: by failure, by waiting, by distance.
package jyplace
