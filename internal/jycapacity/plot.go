package jycapacity

import (
	"fmt"
	"io"
	"strings"
)

// The size of a plot and of the margins around its axes, in pixels.
const (
	plotWidth  = 420
	plotHeight = 260
	plotMargin = 50
)

// PlotName returns the file name of a fit's plot.
func PlotName(f LinearFit) string {
	unit := strings.NewReplacer("/", "-per-", "B-", "bytes-").Replace(f.Unit)
	return f.Name + "-" + unit + ".svg"
}

// WritePlot draws the points and the fitted line as SVG, with both axes from zero.
func WritePlot(w io.Writer, f LinearFit) error {
	maxX, maxY := 1.0, 1e-9
	for _, p := range f.Points {
		maxX, maxY = max(maxX, p.X), max(maxY, p.Y)
	}
	x := func(v float64) float64 { return plotMargin + v/maxX*(plotWidth-2*plotMargin) }
	y := func(v float64) float64 { return plotHeight - plotMargin - v/maxY*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="20">%s, %s</text>`, plotMargin, f.Name, f.Unit)
	fmt.Fprintf(&b, `<path d="M%d %d V%d H%d" fill="none" stroke="#888"/>`, plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	fmt.Fprintf(&b, `<text x="4" y="%.0f">%.3g</text><text x="%.0f" y="%d">%.0f</text>`, y(maxY), maxY, x(maxX)-10, plotHeight-plotMargin+16, maxX)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#b03030"/>`,
		x(0), y(min(maxY, f.At(0))), x(maxX), y(min(maxY, f.At(maxX))))
	for _, p := range f.Points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3" fill="#3050b0"/>`, x(p.X), y(p.Y))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}
