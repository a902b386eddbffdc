package examples

import (
	"testing"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

func TestExamplesResolve(t *testing.T) {
	for _, d := range Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			lists, err := d.Lists()
			if err != nil {
				t.Fatal(err)
			}
			snap := declaration.Resolve(lists, 1)
			if len(snap.Accounts) != 10 {
				t.Errorf("%d client accounts, want 10", len(snap.Accounts))
			}
			if snap.Models[0].Name != d.Model.Name || snap.Services[0].Name != d.Service.Name {
				t.Errorf("the lists name model %s and service %s, want %s and %s", snap.Models[0].Name, snap.Services[0].Name, d.Model.Name, d.Service.Name)
			}
			keys, err := d.Keys()
			if err != nil {
				t.Fatal(err)
			}
			for _, k := range keys {
				a, ok := snap.Lookup(declaration.HashKey(k.Key))
				if !ok || a.ID != k.Account {
					t.Errorf("the key of account %q belongs to %v", k.Account, a)
				}
			}
			if _, ok := snap.Lookup(declaration.HashKey("another key")); ok {
				t.Error("an unknown key belongs to an account")
			}
		})
	}
}
