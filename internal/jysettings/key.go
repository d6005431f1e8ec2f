package jysettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Key describes one settings key.
type Key struct {
	Section string
	Name    string
	Unit    string // empty if the value has none
	// Default is the value of an absent or empty key. A key without a default is required unless it is Optional.
	Default string
	// Optional means that the key may be absent or empty although it has no default.
	Optional bool
	// Allowed describes the valid values, for faults and documentation.
	Allowed string
	Meaning string
	// set parses a value and stores it in the settings. The text of its error is the problem that a Fault reports.
	set func(s *Settings, value string) error
}

// text returns the set function of a key whose value is any text. field returns the setting to store it in. The functions below do
// the same for other types of values; low and high are the least and the greatest valid value.
func text(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*field(s) = v
		return nil
	}
}

func address(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if _, err := netip.ParseAddrPort(v); err != nil {
			return fmt.Errorf("%q is not an IP number and a port", v)
		}
		*field(s) = v
		return nil
	}
}

func ip(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if _, err := netip.ParseAddr(v); err != nil {
			return fmt.Errorf("%q is not an IP number", v)
		}
		*field(s) = v
		return nil
	}
}

func addresses(field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		var list []string
		for part := range strings.SplitSeq(v, ",") {
			part = strings.TrimSpace(part)
			if _, err := netip.ParseAddrPort(part); err != nil {
				return fmt.Errorf("%q is not an IP number and a port", part)
			}
			list = append(list, part)
		}
		*field(s) = list
		return nil
	}
}

func httpAddress(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q is not an http or https address", v)
		}
		*field(s) = v
		return nil
	}
}

func duration(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a time with a unit", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is out of range", d)
		}
		*field(s) = d
		return nil
	}
}

// durationOrZero is duration for a key whose value may also be 0.
func durationOrZero(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if d, err := time.ParseDuration(v); err == nil && d == 0 {
			*field(s) = 0
			return nil
		}
		return duration(low, high, field)(s, v)
	}
}

func integer[T int | int64](low, high T, field func(*Settings) *T) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if T(n) < low || T(n) > high {
			return fmt.Errorf("%d is out of range", n)
		}
		*field(s) = T(n)
		return nil
	}
}

func decimal(low, high float64, field func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if !(n >= low && n <= high) {
			return fmt.Errorf("%g is out of range", n)
		}
		*field(s) = n
		return nil
	}
}

func oneOf[T ~string](field func(*Settings) *T, allowed ...T) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !slices.Contains(allowed, T(v)) {
			return fmt.Errorf("%q is not one of the allowed values", v)
		}
		*field(s) = T(v)
		return nil
	}
}

func boolean(field func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return fmt.Errorf("%q is not true or false", v)
		}
		*field(s) = b
		return nil
	}
}
