package jyquota

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Rate is a number of requests per second.
type Rate float64

// minLimit is the least limit that is applied. Without any request, nobody would learn that a limit has ended.
const minLimit Rate = 0.2

// Applied returns the rate that is applied for r as a stated limit.
func (r Rate) Applied() Rate { return max(r, minLimit) }

var decimalPattern = regexp.MustCompile(`^(\d+\.?\d*|\.\d+)$`)

// ParseRate returns the rate that a server states as a decimal number. Its errors are of kind Malformed.
func ParseRate(text string) (Rate, error) {
	const op = "read limit"
	text = strings.TrimSpace(text)
	if !decimalPattern.MatchString(text) {
		return 0, jyfault.New(op, Malformed, "%.40q is not a decimal number", text)
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, jyfault.New(op, Malformed, "%.40q is out of range", text)
	}
	return Rate(rate), nil
}
