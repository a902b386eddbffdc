package shell

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/rawserver"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

// TestBrokenHeadOfAPeerIsNoCopy guards against a copy of another gateway that is believed although a line of its head
// is no field.
func TestBrokenHeadOfAPeerIsNoCopy(t *testing.T) {
	body, err := cbor.Marshal(storecopy.Listing{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	head := rawserver.SoundHead
	url := rawserver.Send(t, func() string { return head + string(body) })
	fetch := func() (storecopy.Listing, error) {
		addr := netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
		return new(Gateway).fetchCopyFrom(context.Background(), addr, "k", storecopy.Version{})
	}
	if l, err := fetch(); err != nil || l.Revision != 7 {
		t.Errorf("a sound copy: %+v, %v", l, err)
	}
	for name, broken := range rawserver.BrokenHeads {
		head = broken
		if l, err := fetch(); err == nil {
			t.Errorf("%s: %+v", name, l)
		}
	}
}
