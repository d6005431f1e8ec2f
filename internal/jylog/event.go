package jylog

import "k8s.io/klog/v2"

// Severity is the level at which an event is logged.
type Severity string

// The severities: Info is logged by klog as INFO, and Alarm as ERROR.
const (
	Info  Severity = "Info"
	Alarm Severity = "Alarm"
)

// Event is one kind of log line. Its number never changes its meaning.
type Event struct {
	Number   int
	Severity Severity
	Message  string
	Fields   []string // the names of the values, in the order of the arguments of Log
	Advice   string   // what an operator should do about it
}

// Log writes the event with at most one value for each field, in the order of Fields. It panics if there are more values than
// fields.
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
