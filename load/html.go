package load

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.Deployment}}, seed {{.Report.Seed}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:right}th:first-child,td:first-child{text-align:left}</style>
</head><body>
<h1>{{.Report.Deployment}}: policy {{.Report.Policy}}, seed {{.Report.Seed}}</h1>
<p>{{.Report.Duration}} at rate {{.Report.Rate}}, faults: {{if .Report.Faults}}{{.Report.Faults}}{{else}}none{{end}}</p>
{{with .Broken}}<p><strong>Broken: {{range .}}{{.}} {{end}}</strong></p>{{else}}<p>Every rule held.</p>{{end}}
<p>{{.Report.Requests}} requests: {{.Report.Answered}} answered, {{.Report.Refused}} refused not-run, {{.Report.Unknown}} unknown.
Batch efficiency {{printf "%.3f" .Report.Efficiency}}. {{.Report.Loads}} loads, {{.Report.LoadFailures}} failed.</p>
<table><tr><th>class</th><th>answered</th><th>stall p50</th><th>stall p95</th><th>stall p99</th><th>first token p50</th><th>p95</th><th>p99</th></tr>
{{range .Rows}}<tr><td>{{.Class}}</td><td>{{printf "%.3f" .Answered}}</td><td>{{.Stall.P50}}</td><td>{{.Stall.P95}}</td><td>{{.Stall.P99}}</td><td>{{.First.P50}}</td><td>{{.First.P95}}</td><td>{{.First.P99}}</td></tr>
{{end}}</table><p>Times in milliseconds.</p>
{{range .Plots}}{{.}}{{end}}
</body></html>
`))

type classRow struct {
	Class        string
	Answered     float64
	Stall, First Quantiles
}

// WriteHTML writes the report with plots to an HTML file.
func (r *Report) WriteHTML(file string) error {
	var rows []classRow
	for _, class := range sortedKeys(r.Goodput) {
		rows = append(rows, classRow{class, r.Goodput[class], r.LoadStall[class], r.FirstToken[class]})
	}
	answered := make([]float64, len(r.AnsweredPerBucket))
	for i, n := range r.AnsweredPerBucket {
		answered[i] = float64(n) / bucketDuration.Seconds()
	}
	var plots []template.HTML
	for _, series := range []struct {
		title, unit string
		values      []float64
	}{{"load stall, p95", "ms", r.LoadStallPerBucket}, {"answered", "requests/s", answered}} {
		svg, err := plotSVG(series.title, series.unit, series.values)
		if err != nil {
			return err
		}
		plots = append(plots, svg)
	}
	var b bytes.Buffer
	err := reportTemplate.Execute(&b, struct {
		Report *Report
		Broken []string
		Rows   []classRow
		Plots  []template.HTML
	}{r, r.Violations(), rows, plots})
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.WriteFile(file, b.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// plotSVG plots a metric over the run as SVG, one point per bucket.
func plotSVG(title, unit string, values []float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i) * bucketDuration.Seconds(), Y: v}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	p.Add(line, plotter.NewGrid())
	w, err := p.WriterTo(16*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", fmt.Errorf("plot %s: %w", title, err)
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:] // HTML does not allow the XML header
	}
	return template.HTML(svg), nil
}
