package report

import (
	"slices"
	"strconv"
)

// section holds the rows of one deployment, fault setting and mix.
type section struct {
	setting
	Title    string
	Rows     []summary
	Bands    []string
	Loads    []int
	Policies []string
	Seeds    int // largest number of seeds merged into one row
}

// sections merges the rows over their seeds and groups them by setting.
func sections(rows []Row) []section {
	var list []section
	for _, s := range summarise(rows) {
		if n := len(list); n == 0 || list[n-1].setting != s.setting() {
			list = append(list, newSection(s.setting()))
		}
		list[len(list)-1].add(s)
	}
	for i := range list {
		slices.Sort(list[i].Loads)
		slices.SortFunc(list[i].Policies, comparePolicies)
	}
	return list
}

func newSection(s setting) section {
	title := s.Deployment + ", faults: " + s.Faults
	if s.Mix != "" {
		title += ", mix: " + s.Mix
	}
	return section{setting: s, Title: title}
}

func (sec *section) add(s summary) {
	sec.Rows = append(sec.Rows, s)
	sec.Bands = addOnce(sec.Bands, s.Band)
	sec.Loads = addOnce(sec.Loads, s.Load)
	sec.Policies = addOnce(sec.Policies, s.Policy)
	sec.Seeds = max(sec.Seeds, s.Seeds)
}

func addOnce[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

// find returns the row of a band, policy and load, or nil if there is none.
func (sec *section) find(band, policy string, load int) *summary {
	for i := range sec.Rows {
		s := &sec.Rows[i]
		if s.Band == band && s.Policy == policy && s.Load == load {
			return s
		}
	}
	return nil
}

func (sec *section) loadLabels() []string {
	labels := make([]string, 0, len(sec.Loads))
	for _, l := range sec.Loads {
		labels = append(labels, strconv.Itoa(l)+"%")
	}
	return labels
}
