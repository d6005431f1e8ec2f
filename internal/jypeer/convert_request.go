package jypeer

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/jackdawyard/jackdawyard/internal/jywire"
	"github.com/jackdawyard/jackdawyard/pkg/jydedup"
	"github.com/jackdawyard/jackdawyard/pkg/jyoutcome"
)

// IDToWire converts a request id to its wire form.
func IDToWire(id jydedup.ID) *jywire.RequestId {
	return &jywire.RequestId{
		Instance: string(id.Issuer.Instance), Boot: uint64(id.Issuer.Boot), Sequence: id.Sequence,
		AgeMilliseconds: id.Age.Milliseconds(), Tag: id.Tag[:],
	}
}

// IDFromWire converts a request id from its wire form.
func IDFromWire(w *jywire.RequestId) jydedup.ID {
	id := jydedup.ID{
		Issuer:   jydedup.Issuer{Instance: jydedup.InstanceName(w.GetInstance()), Boot: jydedup.Boot(w.GetBoot())},
		Sequence: w.GetSequence(), Age: time.Duration(w.GetAgeMilliseconds()) * time.Millisecond,
	}
	copy(id.Tag[:], w.GetTag())
	return id
}

// HeadersToWire converts headers to their wire form, sorted by name.
func HeadersToWire(h http.Header) []*jywire.Header {
	out := make([]*jywire.Header, 0, len(h))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		out = append(out, &jywire.Header{Name: name, Values: h[name]})
	}
	return out
}

// HeadersFromWire converts headers from their wire form.
func HeadersFromWire(list []*jywire.Header) http.Header {
	h := make(http.Header, len(list))
	for _, w := range list {
		h[w.GetName()] = w.GetValues()
	}
	return h
}

// ResultToWire converts the result of a request id to its wire form.
func ResultToWire(r jydedup.Result) *jywire.Result {
	w := &jywire.Result{Outcome: string(r.Outcome), Reason: string(r.Reason)}
	if r.Answer != nil {
		w.Answer = &jywire.Answer{Status: int32(r.Answer.Status), Headers: HeadersToWire(r.Answer.Header), Body: r.Answer.Body}
	}
	return w
}

// ResultFromWire converts the result of a request id from its wire form.
func ResultFromWire(w *jywire.Result) jydedup.Result {
	r := jydedup.Result{Outcome: jyoutcome.Outcome(w.GetOutcome()), Reason: jyoutcome.Reason(w.GetReason())}
	if a := w.GetAnswer(); a != nil {
		r.Answer = &jydedup.Answer{Status: int(a.GetStatus()), Header: HeadersFromWire(a.GetHeaders()), Body: a.GetBody()}
	}
	return r
}

// HandOverToWire converts one part of a hand-over to its wire form; parts are counted from 0.
func HandOverToWire(h jydedup.HandOver, part, parts int) *jywire.HandOverRequest {
	w := &jywire.HandOverRequest{
		Part:                uint32(part),
		Parts:               uint32(parts),
		Issuer:              &jywire.Run{Name: string(h.Issuer.Instance), Boot: uint64(h.Issuer.Boot)},
		Secret:              h.Secret,
		ElapsedMilliseconds: h.Elapsed.Milliseconds(),
	}
	for _, r := range h.Records {
		w.Records = append(w.Records, &jywire.HandedRecord{
			Sequence: r.Sequence, AgeMilliseconds: r.Age.Milliseconds(), Caller: string(r.Caller),
			Fingerprint: r.Fingerprint[:], Result: ResultToWire(r.Result),
		})
	}
	return w
}

// HandOverFromWire converts a hand-over, or a part of one, from its wire form.
func HandOverFromWire(w *jywire.HandOverRequest) jydedup.HandOver {
	h := jydedup.HandOver{
		Issuer:  jydedup.Issuer{Instance: jydedup.InstanceName(w.GetIssuer().GetName()), Boot: jydedup.Boot(w.GetIssuer().GetBoot())},
		Secret:  w.GetSecret(),
		Elapsed: time.Duration(w.GetElapsedMilliseconds()) * time.Millisecond,
	}
	for _, r := range w.GetRecords() {
		v := jydedup.HandOverRecord{
			Sequence: r.GetSequence(), Age: time.Duration(r.GetAgeMilliseconds()) * time.Millisecond,
			Caller: jydedup.Caller(r.GetCaller()), Result: ResultFromWire(r.GetResult()),
		}
		copy(v.Fingerprint[:], r.GetFingerprint())
		h.Records = append(h.Records, v)
	}
	return h
}
