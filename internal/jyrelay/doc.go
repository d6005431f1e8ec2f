// Package jyrelay exchanges with peers the requests that carry request ids, the hand-over of ids, and the blocked requests.
package jyrelay
