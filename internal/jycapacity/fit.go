package jycapacity

import (
	"cmp"
	"math"
	"slices"
)

// Point is one measurement: the size X at which a benchmark ran, and the value Y that it reported.
type Point struct {
	X float64
	Y float64
}

// LinearFit is a line through measurements.
type LinearFit struct {
	Name      string
	Unit      string
	Points    []Point
	Intercept float64 // at size zero
	Slope     float64 // for each unit of size
	// RelativeRMSE is the root mean square of the residuals, as a share of the largest value.
	RelativeRMSE float64
}

// At returns the fitted value at a size, and never less than zero.
func (s LinearFit) At(x float64) float64 { return max(0, s.Intercept+s.Slope*x) }

// FitLine returns the least squares line through the points.
func FitLine(name, unit string, points []Point) LinearFit {
	s := LinearFit{Name: name, Unit: unit, Points: slices.Clone(points)}
	slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	n := float64(len(points))
	var sx, sy, sxx, sxy, top float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		top = max(top, math.Abs(p.Y))
	}
	if d := n*sxx - sx*sx; d > 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	if n > 0 {
		s.Intercept = (sy - s.Slope*sx) / n
	}
	var squares float64
	for _, p := range points {
		r := p.Y - (s.Intercept + s.Slope*p.X)
		squares += r * r
	}
	if top > 0 {
		s.RelativeRMSE = math.Sqrt(squares/n) / top
	}
	return s
}
