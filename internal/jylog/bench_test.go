package jylog

import (
	"bytes"
	"testing"

	"k8s.io/klog/v2"
)

// byteCounter counts the bytes that are written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(b []byte) (int, error) {
	c.bytes += len(b)
	return len(b), nil
}

// BenchmarkFailedRequestLine measures the time of the log line of a failed request, written or suppressed, and its size.
func BenchmarkFailedRequestLine(b *testing.B) {
	out := &byteCounter{}
	klog.LogToStderr(false)
	klog.SetOutput(out)
	defer klog.SetOutput(&bytes.Buffer{})
	line := func(perSecond int) {
		RequestFailed.LogAtMost(perSecond, "9c41d07be2a35f68", "orders", "payments", "ServerError", 500, 1, 3, "i-7f3a91c2-1778821288284", 0.033, 4, 3, 5)
	}
	b.Run("written", func(b *testing.B) {
		out.bytes = 0
		for b.Loop() {
			line(1 << 30)
		}
		klog.Flush()
		b.ReportMetric(float64(out.bytes)/float64(b.N), "bytes/line")
	})
	b.Run("suppressed", func(b *testing.B) {
		for b.Loop() {
			line(0)
		}
	})
}
