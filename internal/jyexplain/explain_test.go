package jyexplain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jackdawyard/jackdawyard/internal/jyexplain"
)

const logText = `I0102 10:00:00.000001    7 discovery.go:1] "configuration and servers in force" Event=208 Number=4 Revision=9 Servers=3
   1.2 entry-1 I0102 10:00:01.000001    7 loss.go:1] "backend server is believed gray" Event=308 Service="s" Server="b-1" GrayChance=0.9 Outcome="FailedEarly" Source="entry-2"
I0102 10:00:02.000001    7 log.go:1] "request sent to another backend server" Event=603 Request="r1" Service="s" Server="b-1" Reason="ServerError" Attempts=1
I0102 10:00:02.500001    7 log.go:1] "request failed" Event=602 Request="r1" Route="x" Service="s" Reason="AnswerLost" Status=502 Attempts=2 Server="b-2"
I0102 10:00:02.500001    7 log.go:1] "request failed" Event=602 Request="r2" Service="s" Reason="ServerError" Status=500 Server="b-3"
something else
`

func TestWriteExplainsARequestFromTheLogs(t *testing.T) {
	lines, err := jyexplain.Read("entry-1.log", strings.NewReader(logText))
	require.NoError(t, err)
	require.Len(t, lines, 5)
	var out strings.Builder
	require.NoError(t, jyexplain.Write(&out, "r1", lines))
	written := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, written, 5)
	assert.Contains(t, written[0], "Number=4")
	assert.Contains(t, written[1], "believed gray")
	assert.Contains(t, written[2], "Reason=ServerError")
	assert.Contains(t, written[3], "Status=502")
	assert.Contains(t, written[4], "it may have run")
	assert.NotContains(t, out.String(), "b-3")
}

func TestWriteSaysThatNoLineNamesTheRequest(t *testing.T) {
	var out strings.Builder
	require.NoError(t, jyexplain.Write(&out, "r9", nil))
	assert.Contains(t, out.String(), "No line names request r9")
}

func TestTheOutcomeIsThatOfTheRequestsLastLineAmongRelatedOnes(t *testing.T) {
	const text = `I0102 10:00:02.000001    7 log.go:1] "request sent to another backend server" Event=603 Request="r1" Service="s" Server="b-1" Reason="ServerError" Attempts=1
I0102 10:00:02.200001    7 loss.go:1] "backend server is believed gray" Event=308 Service="s" Server="b-1" GrayChance=0.9 Outcome="FailedEarly" Source="entry-2"
I0102 10:00:02.500001    7 log.go:1] "request sent to another backend server" Event=603 Request="r1" Service="s" Server="b-2" Reason="ServerError" Attempts=2
I0102 10:00:03.000001    7 log.go:1] "request failed" Event=602 Request="r1" Route="x" Service="s" Reason="AnswerLost" Status=502 Attempts=3 Server="b-3"
`
	lines, err := jyexplain.Read("entry-1.log", strings.NewReader(text))
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, jyexplain.Write(&out, "r1", lines))
	assert.Contains(t, out.String(), "Outcome: request failed, AnswerLost")
}
