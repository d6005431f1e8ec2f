package jyreport

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jackdawyard/jackdawyard/pkg/jyburn"
)

// serviceRow is the text of one service in the report.
type serviceRow struct {
	Service   string
	Objective string
	Burn      []string // the burn rates over jyburn.Windows, in that order
	Alert     jyburn.Alert
	Points    string // the points of the plot of the burn rate by minute, in SVG syntax
}

// The size of a plot, in pixels.
const (
	plotWidth  = 360
	plotHeight = 60
	// plotMaxBurn is the burn rate at the top of a plot. Higher rates are drawn there too.
	plotMaxBurn = 20.0
)

func serviceRows(r Report) []serviceRow {
	out := make([]serviceRow, 0, len(r.Services))
	for _, s := range r.Services {
		v := serviceRow{
			Service:   string(s.Service),
			Objective: fmt.Sprintf("%g%% within %d ms", 100*s.Objective.SuccessShare, s.Objective.LatencyMilliseconds),
			Alert:     jyburn.AlertFor(s.Series, s.Objective.SuccessShare),
			Points:    plotPoints(s),
		}
		for _, w := range jyburn.Windows {
			n := min(len(s.Series), int(w/jyburn.BucketDuration))
			v.Burn = append(v.Burn, fmt.Sprintf("%.2f", jyburn.Rate(s.Series[len(s.Series)-n:], s.Objective.SuccessShare)))
		}
		out = append(out, v)
	}
	return out
}

// plotPoints returns the burn rate by minute as the points of an SVG polyline.
func plotPoints(s ServiceBurn) string {
	var b strings.Builder
	for i := range s.Series {
		rate := jyburn.Rate(s.Series[i:i+1], s.Objective.SuccessShare)
		x := float64(i) * plotWidth / float64(max(1, len(s.Series)-1))
		y := plotHeight * (1 - min(1, rate/plotMaxBurn))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return b.String()
}

// WriteText writes the report as a text table.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Instances: %d\n", len(r.Instances))
	fmt.Fprint(t, "Service\tObjective")
	for _, window := range jyburn.Windows {
		fmt.Fprintf(t, "\t%s", window)
	}
	fmt.Fprintln(t, "\tAlert")
	for _, v := range serviceRows(r) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", v.Service, v.Objective, strings.Join(v.Burn, "\t"), v.Alert)
	}
	return t.Flush()
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn rates</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}
td,th{padding:.4em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}
.Page{background:#f4b6b6}.Ticket{background:#f7e3a8}
svg{background:#f5f5f5}
</style></head><body>
<h1>Error budget burn rates</h1>
<p>{{len .Report.Instances}} instances. A burn rate of 1 uses up exactly the errors that the objective allows.</p>
<table><tr><th>Service</th><th>Objective</th>{{range .Windows}}<th>{{.}}</th>{{end}}<th>Alert</th><th>Last six hours, burn 0 to 20</th></tr>
{{range .Rows}}<tr class="{{.Alert}}"><td>{{.Service}}</td><td>{{.Objective}}</td>{{range .Burn}}<td>{{.}}</td>{{end}}<td>{{.Alert}}</td>
<td><svg width="360" height="60" role="img" aria-label="burn rate of {{.Service}}"><line x1="0" y1="57" x2="360" y2="57" stroke="#999"/><polyline fill="none" stroke="#b03030" points="{{.Points}}"/></svg></td></tr>
{{end}}</table></body></html>
`))

type pageData struct {
	Report  Report
	Windows []string
	Rows    []serviceRow
}

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error {
	data := pageData{Report: r, Rows: serviceRows(r)}
	for _, window := range jyburn.Windows {
		data.Windows = append(data.Windows, window.String())
	}
	return page.Execute(w, data)
}
