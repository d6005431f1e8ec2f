package jyproxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the pause that a backend server may ask for.
const maxRetryAfter = time.Hour

// parseRetryAfter returns the pause that a Retry-After header asks for, in seconds or as a date. ok is false if the pause is not
// positive or the header is invalid.
func parseRetryAfter(text string, now time.Time) (wait time.Duration, ok bool) {
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		date, err := http.ParseTime(text)
		if err != nil {
			return 0, false
		}
		seconds = date.Sub(now).Seconds()
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
