package report

import (
	"html/template"
	"strconv"

	charts "github.com/go-analyze/charts"
	"github.com/pkg/errors"
)

// Size of a plot in SVG units; the page scales it to the screen.
const (
	plotWidth  = 640
	plotHeight = 360
)

// plot is one figure of the page.
type plot struct {
	Caption string
	SVG     template.HTML
}

// measure is a quantity that is plotted against load.
type measure struct {
	name  string // part of the caption, with unit
	value func(*summary) float64
}

var (
	firstToken = measure{"time to first token, p95, s", func(s *summary) float64 { return s.TTFTP95 }}
	slowdown   = measure{"slowdown of short requests beside long ones, p95", func(s *summary) float64 { return s.ShortSlowdownP95 }}
	goodput    = measure{"goodput, requests in time a second", func(s *summary) float64 { return s.Goodput }}
)

// plots draws the figures of a section: time to first token and goodput for each
// band, and the slowdown of short requests, each against load with one series per
// policy.
func (sec *section) plots() ([]plot, error) {
	var list []plot
	for _, band := range sec.Bands {
		measures := []measure{firstToken}
		if band == "short" {
			measures = append(measures, slowdown)
		}
		measures = append(measures, goodput)
		for _, m := range measures {
			p, err := sec.plot(band, m)
			if err != nil {
				return nil, err
			}
			if p != nil {
				list = append(list, *p)
			}
		}
	}
	return list, nil
}

// plot draws one measure for one band. It returns nil if all values are zero.
func (sec *section) plot(band string, m measure) (*plot, error) {
	values := make([][]float64, 0, len(sec.Policies))
	measured := false
	for _, policy := range sec.Policies {
		series := make([]float64, 0, len(sec.Loads))
		for _, load := range sec.Loads {
			v := charts.GetNullValue()
			if s := sec.find(band, policy, load); s != nil {
				v = m.value(s)
				measured = measured || v != 0
			}
			series = append(series, v)
		}
		values = append(values, series)
	}
	if !measured {
		return nil, nil
	}
	svg, err := sec.draw(values)
	if err != nil {
		return nil, err
	}
	return &plot{Caption: band + ": " + m.name, SVG: template.HTML(svg)}, nil
}

// draw returns an SVG line chart over load, or a bar chart if there is a single
// load. values holds one series per policy with one value per load.
func (sec *section) draw(values [][]float64) ([]byte, error) {
	p := charts.NewPainter(charts.PainterOptions{OutputFormat: charts.ChartOutputSVG, Width: plotWidth, Height: plotHeight})
	var err error
	if len(sec.Loads) > 1 {
		opt := charts.NewLineChartOptionWithData(values)
		opt.XAxis.Labels = sec.loadLabels()
		opt.Legend.SeriesNames = sec.Policies
		opt.ValueFormatter = formatValue
		opt.YAxis = []charts.YAxisOption{{Min: charts.Ptr(0.0)}}
		err = p.LineChart(opt)
	} else {
		opt := charts.NewBarChartOptionWithData(values)
		opt.CategoryAxis.Labels = sec.loadLabels()
		opt.Legend.SeriesNames = sec.Policies
		opt.ValueFormatter = formatValue
		opt.ValueAxis = []charts.ValueAxisOption{{Min: charts.Ptr(0.0)}}
		err = p.BarChart(opt)
	}
	if err != nil {
		return nil, errors.Wrap(err, "draw chart")
	}
	svg, err := p.Bytes()
	return svg, errors.Wrap(err, "encode chart as SVG")
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
