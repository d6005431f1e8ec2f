package jycapacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Fits holds the fitted lines by benchmark and unit, such as "heartbeat ns/op".
type Fits map[string]LinearFit

// benchmarkLine matches a result such as "BenchmarkSlope/heartbeat/15-6 421 500 ns/op 300 B-wire". Its groups are the name of the
// benchmark, the size, and the values with their units.
var benchmarkLine = regexp.MustCompile(`^BenchmarkSlope/([a-z-]+)/(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ParseBenchmarks reads the output of `go test -bench Slope` and fits a line for each benchmark and unit. Repeated runs add
// points, and other lines are skipped. It returns an error of kind Malformed if it can't read the input or a number in it.
func ParseBenchmarks(r io.Reader) (Fits, error) {
	points := map[string][]Point{}
	names := map[string][2]string{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := benchmarkLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		x, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			return nil, jyfault.New("parse benchmarks", Malformed, "%w", err)
		}
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, jyfault.New("parse benchmarks", Malformed, "%w", err)
			}
			key := m[1] + " " + fields[i+1]
			points[key] = append(points[key], Point{X: x, Y: y})
			names[key] = [2]string{m[1], fields[i+1]}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, jyfault.New("parse benchmarks", Malformed, "%w", err)
	}
	out := Fits{}
	for key, list := range points {
		out[key] = FitLine(names[key][0], names[key][1], list)
	}
	return out, nil
}
