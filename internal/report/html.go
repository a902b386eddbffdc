package report

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Parse(pageSource))

// Info is the head of an experiment's page.
type Info struct {
	Title   string
	Command string // command line that reproduces the results; empty: not shown
	Version string // version of the product; empty: not shown
}

// page is the data of pageTemplate.
type page struct {
	Info
	Targets  Targets
	Sections []pageSection
}

type pageSection struct {
	section
	Plots []plot
}

// Targets are upper bounds at the 95th percentile for short requests. The page marks
// the values that exceed them, in the rows of all policies.
type Targets struct {
	ShortFirstToken float64 // time to first token, seconds
	BetweenTokens   float64 // inter-token latency, seconds
	ShortSlowdown   float64 // Row.ShortSlowdownP95
}

// DefaultTargets returns the targets of the product.
func DefaultTargets() Targets {
	return Targets{ShortFirstToken: 0.55, BetweenTokens: 0.074, ShortSlowdown: 1.15}
}

// WriteHTML writes the page. It needs no other file and runs no script.
func (r Results) WriteHTML(w io.Writer, info Info) error {
	p := page{Info: info, Targets: DefaultTargets()}
	for _, sec := range sections(r.Rows) {
		plots, err := sec.plots()
		if err != nil {
			return err
		}
		p.Sections = append(p.Sections, pageSection{section: sec, Plots: plots})
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "write report")
}

// MissesFirstToken reports whether the row is of short requests and their time to
// first token exceeds the target.
func (s summary) MissesFirstToken() bool {
	return s.Band == "short" && s.TTFTP95 > DefaultTargets().ShortFirstToken
}

// MissesBetweenTokens reports whether the row is of short requests and their
// inter-token latency exceeds the target.
func (s summary) MissesBetweenTokens() bool {
	return s.Band == "short" && s.ITLP95 > DefaultTargets().BetweenTokens
}

// MissesSlowdown reports whether the slowdown of short requests exceeds the target.
func (s summary) MissesSlowdown() bool {
	return s.ShortSlowdownP95 > DefaultTargets().ShortSlowdown
}

// Own reports whether the row is of the product's policy.
func (s summary) Own() bool { return s.Policy == OwnPolicy }
