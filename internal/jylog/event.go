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
	Message  string   // the same for all lines of the event
	Fields   []string // the names of the values, in the order of the arguments of Log
	Advice   string   // what an operator should do about it
}

// Log writes the event with the values of its fields, in the order of Fields. Fields beyond the last value are left out. It panics
// if there are more values than fields.
func (e Event) Log(values ...any) { e.logDepth(1, values) }

// logDepth writes the event. depth is the number of callers to skip for the source line that klog writes: 0 means the caller of
// logDepth.
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
