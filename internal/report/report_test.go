package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// sampleResults returns the rows of one section: two policies, two loads, two seeds
// and two bands.
func sampleResults() Results {
	var res Results
	for _, policy := range []string{"round-robin", OwnPolicy} {
		for _, load := range []int{100, 70} {
			for seed := range uint64(2) {
				for i, band := range []string{"short", "long"} {
					row := Row{
						Deployment: "atitlan", Policy: policy, Load: load, Faults: "none", Seed: seed, Band: band,
						Requests: 10, TTFTP95: float64(load)/200 + float64(i) + float64(seed), Goodput: 0.9, Late: 1,
					}
					if band == "short" {
						row.ShortSlowdownP95 = 1.1
					}
					res.Rows = append(res.Rows, row)
				}
			}
		}
	}
	return res
}

func TestJSONRoundTrip(t *testing.T) {
	want := sampleResults()
	var buf bytes.Buffer
	if err := want.WriteJSON(&buf); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows differ after writing and reading (-want +got):\n%s", diff)
	}
}

func TestSeedsAreMerged(t *testing.T) {
	secs := sections(sampleResults().Rows)
	if len(secs) != 1 || len(secs[0].Rows) != 8 || secs[0].Seeds != 2 {
		t.Fatalf("sections %+v, want one with 8 rows of 2 seeds", secs)
	}
	first := secs[0].Rows[0]
	if first.Policy != OwnPolicy || first.Load != 70 || first.Band != "short" {
		t.Errorf("first row %+v, want the short band at load 70 under %s", first, OwnPolicy)
	}
	if first.TTFTP95 != 0.85 || first.Requests != 20 || first.Late != 2 {
		t.Errorf("merged row %+v, want TTFTP95 0.85, 20 requests and 2 late", first)
	}
}

func TestTextHasALineForEachCell(t *testing.T) {
	var buf bytes.Buffer
	if err := sampleResults().WriteText(&buf); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(buf.String(), "\n"); n != 2+8 {
		t.Errorf("table of %d lines, want 2 of headings and 8 of rows:\n%s", n, buf.String())
	}
}

func TestPageIsSelfContained(t *testing.T) {
	for name, res := range map[string]Results{"matrix": sampleResults(), "single load": oneLoad(), "empty": {}} {
		var buf bytes.Buffer
		if err := res.WriteHTML(&buf, Info{Title: "a < b", Command: "trefoilpath experiment"}); err != nil {
			t.Fatal(err)
		}
		html := buf.String()
		for _, banned := range []string{"<script", "src=", "href=", "url(", "@import"} {
			if strings.Contains(html, banned) {
				t.Errorf("%s: the page contains %q", name, banned)
			}
		}
		if !strings.Contains(html, `name="viewport"`) || !strings.Contains(html, "a &lt; b") {
			t.Errorf("%s: no viewport, or the title is not escaped", name)
		}
	}
}

func oneLoad() Results {
	var res Results
	for _, r := range sampleResults().Rows {
		if r.Load == 70 {
			res.Rows = append(res.Rows, r)
		}
	}
	return res
}

func TestPlotsAreWellFormedAndScale(t *testing.T) {
	for _, res := range []Results{sampleResults(), oneLoad()} {
		sec := sections(res.Rows)[0]
		plots, err := sec.plots()
		if err != nil {
			t.Fatal(err)
		}
		if len(plots) != 5 {
			t.Errorf("%d plots, want 5", len(plots))
		}
		for _, p := range plots {
			if !strings.Contains(string(p.SVG), "viewBox=") || !strings.Contains(string(p.SVG), OwnPolicy) {
				t.Errorf("plot %s: no viewBox or no legend", p.Caption)
			}
			dec := xml.NewDecoder(strings.NewReader(string(p.SVG)))
			for {
				if _, err := dec.Token(); err == io.EOF {
					break
				} else if err != nil {
					t.Fatalf("plot %s is not well-formed XML: %v", p.Caption, err)
				}
			}
		}
	}
}
