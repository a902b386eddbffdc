package route

import (
	"slices"
	"strconv"
	"testing"
)

func compile(t *testing.T, cfg *Config) *Table {
	t.Helper()
	table, err := Compile(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	to := []Target{{Service: "s", Weight: 1}}
	table := compile(t, &Config{Version: 3, Routes: []Route{
		{Name: "a", Host: "h.example", Prefix: "/a/", Kind: KindSafe, Targets: to},
		{Name: "ab", Host: "h.example", Prefix: "/a/b/", Kind: KindSafe, Targets: to},
		{Name: "other", Host: "i.example", Prefix: "/", Kind: KindSafe, Targets: to},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "a"},
		{"H.Example:80", "/a/b/x", "ab"},
		{"h.example", "/a/b", "a"},
		{"h.example", "/ab/", ""},
		{"h.example", "/a", ""},
		{"i.example", "/anything", "other"},
		{"j.example", "/a/x", ""},
	} {
		got := ""
		if r := table.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("Match(%q, %q) = %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestRoutesThatCantBeUsed(t *testing.T) {
	to := []Target{{Service: "s"}}
	for name, r := range map[string]Route{
		"prefix without slashes": {Prefix: "a", Kind: KindSafe, Targets: to},
		"no service":             {Prefix: "/", Kind: KindSafe},
		"no kind":                {Prefix: "/", Targets: to},
	} {
		if _, err := Compile(&Config{Routes: []Route{r}}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestAccounts(t *testing.T) {
	open := compile(t, &Config{})
	if _, ok := open.Account("any"); !ok {
		t.Error("a configuration without accounts refuses a caller")
	}
	keyed := compile(t, &Config{Accounts: []Account{{Name: "acme", Keys: []string{"k"}}}})
	if a, ok := keyed.Account("k"); !ok || a.Name != "acme" {
		t.Error("the holder of a key is not found")
	}
	if _, ok := keyed.Account(""); ok {
		t.Error("a caller without a key is allowed")
	}
	if none := compile(t, &Config{Accounts: []Account{}}); none != nil {
		if _, ok := none.Account("k"); ok {
			t.Error("an empty list of accounts allows a caller")
		}
	}
}

func TestRegionsOfRouteAndAccountBothBind(t *testing.T) {
	var table Table
	for _, test := range []struct{ route, account, want []string }{
		{nil, nil, nil}, {[]string{}, []string{}, nil},
		{[]string{"n", "s"}, nil, []string{"n", "s"}}, {nil, []string{"s"}, []string{"s"}},
		{[]string{"n", "s"}, []string{"s", "e"}, []string{"s"}}, {[]string{"n"}, []string{"s"}, []string{}},
	} {
		got := table.Regions(&Route{Regions: test.route}, &Account{Regions: test.account})
		if !slices.Equal(got, test.want) || (got == nil) != (test.want == nil) {
			t.Errorf("route %v, account %v: %v, want %v", test.route, test.account, got, test.want)
		}
	}
	if got := table.Regions(&Route{Regions: []string{"n"}}, nil); len(got) != 1 {
		t.Errorf("%v without an account, want the regions of the route", got)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	n := map[string]int{}
	for i := range 10_000 {
		id := strconv.Itoa(i)
		s := r.Pick(id)
		if s != r.Pick(id) {
			t.Fatal("the same request gets two services")
		}
		n[s]++
	}
	if n["b"] < 850 || n["b"] > 1150 || n["c"] != 0 {
		t.Errorf("picked %v, want 9 to 1 to 0", n)
	}
}
