package shell

import (
	"context"
	"testing"

	"trefoilpath.org/trefoilpath/internal/membership"
	"trefoilpath.org/trefoilpath/internal/rawserver"
	"trefoilpath.org/trefoilpath/internal/store"
)

// TestBrokenHeadOfThePlatformIsNoAnswer guards against a VM list and a value of the store that are believed although
// a line of their head is no field.
func TestBrokenHeadOfThePlatformIsNoAnswer(t *testing.T) {
	head := rawserver.SoundHead
	url := rawserver.Send(t, func() string { return head + `{"id":3,"status":1,"vms":[]}` })
	vms, values := membership.NewVMListClient(url, plainClient()), store.NewHTTPClient(url, plainClient())
	get := func() (listed, got bool) {
		_, err := vms.Fetch(context.Background())
		return err == nil, values.Do(context.Background(), store.Op{ID: 3, Kind: store.OpGet}).Status == store.StatusOK
	}
	if listed, got := get(); !listed || !got {
		t.Errorf("sound answers: VM list read=%t, value read=%t", listed, got)
	}
	for name, broken := range rawserver.BrokenHeads {
		head = broken
		if listed, got := get(); listed || got {
			t.Errorf("%s: VM list read=%t, value read=%t", name, listed, got)
		}
	}
}
