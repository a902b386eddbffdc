package declaration

import (
	"encoding/hex"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCompareNamesEachChange(t *testing.T) {
	old, edited := exampleLists(t), exampleLists(t)
	edited.Plans.Plans[1].Limits.Concurrency = 80
	edited.Plans.Accounts[0].KeySHA256 = append(edited.Plans.Accounts[0].KeySHA256, KeyHash{0xab, 0xcd})
	edited.Plans.Accounts = slices.Delete(edited.Plans.Accounts, 3, 4)
	edited.Plans.Accounts = append(edited.Plans.Accounts, ClientAccount{ID: "huehue", Plan: "shop"})
	edited.Entitlements.Models[0].Version = "2026-11"
	edited.Entitlements.Entitlements[1].Models[0].Adapters = nil
	edited.Entitlements.Entitlements[0].Services = nil
	slices.Reverse(edited.Plans.Accounts) // the order of accounts is no change

	oldHash := shownHash(old.Plans.Accounts[0].KeySHA256[0])
	addedHash := shownHash(KeyHash{0xab, 0xcd})
	got := FormatChanges(Compare(old, edited))
	wantLines := []string{
		`~ plan "shop": limits.concurrency: 64 -> 80`,
		`~ account "franquicias-central": key_sha256: [` + oldHash + `] -> [` + addedHash + ` ` + oldHash + `]`,
		`+ account "huehue"`,
		`- account "xela-parque"`,
		`~ model "luthier-modelo": version: "2026-10" -> "2026-11"`,
		`~ entitlement of plan "franchise": services[mostrador-pedidos]: removed allowed`,
		`~ entitlement of plan "shop": models[luthier-modelo].adapters: removed ["cotizaciones"]`,
	}
	if diff := cmp.Diff(strings.Join(wantLines, "\n")+"\n", got); diff != "" {
		t.Errorf("changes differ (-want +got):\n%s", diff)
	}
	if same := Compare(old, exampleLists(t)); len(same) != 0 {
		t.Errorf("equal lists differ: %v", same)
	}
}

func shownHash(h KeyHash) string {
	return hex.EncodeToString(h[:])[:shownHashDigits] + "…"
}

// TestCompareSeesChangesBeyondTheShownPart checks that a change of only the end of a list
// element, which a change shows in short, is a change and tells the two apart.
func TestCompareSeesChangesBeyondTheShownPart(t *testing.T) {
	var a, b KeyHash
	a[len(a)-1], b[len(b)-1] = 1, 2
	lists := func(h KeyHash) *Lists {
		return &Lists{Plans: PlanList{Accounts: []ClientAccount{{ID: "shop", KeySHA256: []KeyHash{h}}}}}
	}
	changes := Compare(lists(a), lists(b))
	if len(changes) != 1 || changes[0].Old == changes[0].New {
		t.Errorf("changes %v, want one whose texts differ", changes)
	}
}
