package jycapacity

import (
	"cmp"
	"math"
	"slices"
)

// Point is a measurement: the size X at which a benchmark ran and the value Y that it reported.
type Point struct {
	X float64
	Y float64
}

// LinearFit is a line fitted to the measurements of one benchmark in one unit.
type LinearFit struct {
	Name      string
	Unit      string  // of the values, such as "ns/op"
	Points    []Point // by rising size
	Intercept float64 // value at size zero
	Slope     float64 // increase per unit of size
	// RelativeRMSE is the root mean square of the residuals, as a share of the largest absolute value.
	RelativeRMSE float64
}

// At returns the fitted value at size x, or zero if the line is below zero there.
func (f LinearFit) At(x float64) float64 { return max(0, f.Intercept+f.Slope*x) }

// FitLine returns the least squares line through the points. If all sizes are the same, the line is flat at the mean value.
func FitLine(name, unit string, points []Point) LinearFit {
	f := LinearFit{Name: name, Unit: unit, Points: slices.Clone(points)}
	slices.SortFunc(f.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	n := float64(len(points))
	var sx, sy, sxx, sxy, maxValue float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		maxValue = max(maxValue, math.Abs(p.Y))
	}
	if determinant := n*sxx - sx*sx; determinant > 0 {
		f.Slope = (n*sxy - sx*sy) / determinant
	}
	if n > 0 {
		f.Intercept = (sy - f.Slope*sx) / n
	}
	var squares float64
	for _, p := range points {
		residual := p.Y - (f.Intercept + f.Slope*p.X)
		squares += residual * residual
	}
	if maxValue > 0 {
		f.RelativeRMSE = math.Sqrt(squares/n) / maxValue
	}
	return f
}
