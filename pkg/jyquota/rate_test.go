package jyquota_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/pkg/jyquota"
)

func TestParseRate(t *testing.T) {
	valid := map[string]jyquota.Rate{
		"0": 0, "1": 1, "1.5": 1.5, " 2.25 ": 2.25, "3.": 3, ".5": 0.5, "007": 7, "1000000000000": 1e12,
	}
	for text, want := range valid {
		t.Run(text, func(t *testing.T) {
			got, err := jyquota.ParseRate(text)
			require.NoError(t, err)
			assert.Equal(t, want, got)
		})
	}
	malformed := map[string]string{
		"empty": "", "blank": "  ", "negative": "-1", "signed": "+1", "word": "few", "not a number": "NaN", "infinite": "Inf",
		"exponent": "1e3", "hexadecimal": "0x10", "comma": "1,5", "two numbers": "1 2", "unit": "5/s", "point": ".", "separator": "1_000",
		"beyond all numbers": strings.Repeat("9", 400),
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			_, err := jyquota.ParseRate(text)
			var e *jyquota.Error
			require.ErrorAs(t, err, &e)
			assert.Equal(t, jyquota.Malformed, e.Kind)
			assert.Less(t, len(err.Error()), 1000)
		})
	}
}

func TestTheLaterStatementSupersedesTheEarlier(t *testing.T) {
	at := time.Unix(100, 0)
	limited, free := jyquota.Statement{IsLimited: true, Limit: 2, At: at}, jyquota.Statement{At: at}
	later := func(s jyquota.Statement) jyquota.Statement {
		s.At = at.Add(time.Millisecond)
		return s
	}
	tests := map[string]struct {
		s, old jyquota.Statement
		want   bool
	}{
		"a first limit":                           {limited, jyquota.Statement{}, true},
		"a later limit":                           {later(limited), limited, true},
		"an answer without a limit, sent later":   {later(free), limited, true},
		"an answer without a limit, sent earlier": {free, later(limited), false},
		"a limit of the same time":                {limited, free, true},
		"no limit of the same time":               {free, limited, false},
		"the same limit":                          {limited, limited, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tt.want, tt.s.Supersedes(tt.old)) })
	}
}
