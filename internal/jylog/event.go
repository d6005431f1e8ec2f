package jylog

import "k8s.io/klog/v2"

// Severity is the level at which an event is logged.
type Severity string

// The severities.
const (
	Info  Severity = "Info"
	Alarm Severity = "Alarm"
)

// Event is one kind of log line: its number never changes its meaning.
type Event struct {
	Number   int
	Severity Severity
	Message  string
	Fields   []string // names of the values, in the order of Log's arguments
	Advice   string   // what an operator does about it
}

// Log writes the event with the values of its fields.
func (e Event) Log(values ...any) { e.logDepth(1, values) }

func (e Event) logDepth(depth int, values []any) {
	pairs := make([]any, 0, 2+2*len(values))
	pairs = append(pairs, "Event", e.Number)
	for i, v := range values {
		pairs = append(pairs, e.Fields[i], v)
	}
	if e.Severity == Alarm {
		klog.ErrorSDepth(depth+1, nil, e.Message, pairs...)
		return
	}
	klog.InfoSDepth(depth+1, e.Message, pairs...)
}
