package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plots.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	pointSize  = vg.Length(3)
)

// Targets drawn as lines in the plots: at most harmGoal, at least harvestGoal.
const (
	harmGoal    = 1.05
	harvestGoal = 0.95
)

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title><style>
body{font:14px sans-serif;margin:2em;max-width:1100px}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:3px 7px;text-align:right}
td:first-child,th:first-child{text-align:left}th{background:#eee}svg{max-width:100%;height:auto}
</style></head><body>
<h1>{{.Name}}</h1><p>{{.Description}}</p>
<p>{{.Seeds}} seeds, mean ± half width of the 95% confidence interval (Student's t). Harm is a latency with batch
divided by the same quantile without batch on the same arrivals. Harvest is batch tokens divided by the fluid bound,
which ignores harm. Differences are paired by seed, against {{.Reference}}.</p>
{{range .Plots}}<h2>{{.Title}}</h2>{{.Image}}{{end}}
{{range .Tables}}<h2>{{.Title}}</h2><table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
</body></html>
`))

type tableView struct {
	Title  string
	Header []string
	Rows   [][]string
}

type plotView struct {
	Title string
	Image template.HTML
}

// WriteHTML writes a self-contained page with tables and plots.
func (o *Outcome) WriteHTML(out io.Writer) error {
	plots, err := o.plots()
	if err != nil {
		return trace.Wrap(err, "plots of %v", o.Name)
	}
	return trace.Wrap(page.Execute(out, map[string]any{
		"Name":        o.Name,
		"Description": o.Description,
		"Seeds":       len(o.Samples),
		"Reference":   o.Reference,
		"Plots":       plots,
		"Tables": []tableView{
			o.table("Measures", o.estimate),
			o.table("Paired differences to "+o.Reference, o.difference),
		},
	}))
}

// table returns a table with a row per measure and a column per policy.
func (o *Outcome) table(title string, cell func(policy, measure int) Estimate) tableView {
	view := tableView{Title: title, Header: []string{"measure"}}
	for policy := range o.policies() {
		view.Header = append(view.Header, o.policyName(policy))
	}
	for index, measure := range measures {
		line := []string{measure.title}
		for policy := range o.policies() {
			line = append(line, formatEstimate(cell(policy, index)))
		}
		view.Rows = append(view.Rows, line)
	}
	return view
}

func (o *Outcome) plots() ([]plotView, error) {
	var views []plotView
	for _, axis := range []struct{ title, measure string }{
		{"Harvest against harm to the time to first token, p99", "harm_ttft_p99"},
		{"Harvest against harm to the time between tokens, p99", "harm_tbt_p99"},
	} {
		image, err := o.scatter(axis.measure, "harvest")
		if err != nil {
			return nil, err
		}
		views = append(views, plotView{Title: axis.title, Image: image})
	}
	return views, nil
}

var palette = []color.RGBA{
	{0x1f, 0x77, 0xb4, 0xff}, {0xff, 0x7f, 0x0e, 0xff}, {0x2c, 0xa0, 0x2c, 0xff}, {0xd6, 0x27, 0x28, 0xff},
	{0x94, 0x67, 0xbd, 0xff}, {0x8c, 0x56, 0x4b, 0xff}, {0xe3, 0x77, 0xc2, 0xff}, {0x7f, 0x7f, 0x7f, 0xff},
	{0xbc, 0xbd, 0x22, 0xff}, {0x17, 0xbe, 0xcf, 0xff},
}

// maxPlottedHarm is the end of the harm axis, where larger values are drawn.
const maxPlottedHarm = 2.0

// scatter returns an SVG plot with a point per seed and policy, and the goals as lines.
func (o *Outcome) scatter(xMeasure, yMeasure string) (template.HTML, error) {
	x, knownX := measureIndex(xMeasure)
	y, knownY := measureIndex(yMeasure)
	if !knownX || !knownY {
		return "", trace.BadParameter("unknown measure %q or %q", xMeasure, yMeasure)
	}
	drawing := plot.New()
	drawing.X.Label.Text = fmt.Sprintf("harm (drawn at %.0f where higher)", maxPlottedHarm)
	drawing.Y.Label.Text = "harvest"
	drawing.X.Min, drawing.X.Max = 0.95, maxPlottedHarm
	drawing.Y.Min, drawing.Y.Max = 0, 1.05
	drawing.Legend.Left = false
	for policy := range o.policies() {
		points := make(plotter.XYs, len(o.Samples))
		for i, samples := range o.Samples {
			points[i] = plotter.XY{X: min(samples[policy].Values[x], maxPlottedHarm), Y: samples[policy].Values[y]}
		}
		series, err := plotter.NewScatter(points)
		if err != nil {
			return "", err
		}
		series.Color = palette[policy%len(palette)]
		series.Radius = pointSize
		drawing.Add(series)
		drawing.Legend.Add(o.policyName(policy), series)
	}
	if err := addGoalLines(drawing); err != nil {
		return "", err
	}
	return renderSVG(drawing)
}

func addGoalLines(drawing *plot.Plot) error {
	for _, ends := range []plotter.XYs{
		{{X: harmGoal, Y: 0}, {X: harmGoal, Y: 1.05}},
		{{X: 0.95, Y: harvestGoal}, {X: maxPlottedHarm, Y: harvestGoal}},
	} {
		line, err := plotter.NewLine(ends)
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		drawing.Add(line)
	}
	return nil
}

func renderSVG(drawing *plot.Plot) (template.HTML, error) {
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	raw := image.Bytes()
	if start := bytes.Index(raw, []byte("<svg")); start > 0 {
		raw = raw[start:] // HTML does not allow an embedded XML declaration
	}
	return template.HTML(raw), nil
}
