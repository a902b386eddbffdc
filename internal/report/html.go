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

// Info describes an experiment on its page.
type Info struct {
	Title   string
	Command string // that reproduces the results
	Version string // of the product
}

type page struct {
	Info
	Targets  Targets
	Sections []pageSection
}

type pageSection struct {
	section
	Plots []plot
}

// Targets are the bounds that the page compares the product's policy with.
type Targets struct {
	ShortFirstToken float64 // seconds, p95
	BetweenTokens   float64 // seconds, p95
	ShortSlowdown   float64 // p95
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

// MissesFirstToken reports whether short requests wait longer than the target.
func (s summary) MissesFirstToken() bool {
	return s.Band == "short" && s.TTFTP95 > DefaultTargets().ShortFirstToken
}

// MissesBetweenTokens reports whether tokens come slower than the target.
func (s summary) MissesBetweenTokens() bool {
	return s.Band == "short" && s.ITLP95 > DefaultTargets().BetweenTokens
}

// MissesSlowdown reports whether short requests slow down more than the target.
func (s summary) MissesSlowdown() bool {
	return s.ShortSlowdownP95 > DefaultTargets().ShortSlowdown
}

// Own reports whether the row is of the product's policy.
func (s summary) Own() bool { return s.Policy == OwnPolicy }
