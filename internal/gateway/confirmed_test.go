package gateway

import (
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/storecopy"
)

// TestConfirmationReachesOtherGateways checks that all gateways of a fleet know how
// old the latest listing of one of them is.
func TestConfirmationReachesOtherGateways(t *testing.T) {
	const listedAt = 4900 * time.Millisecond
	s := newSimulation(t, 31)
	s.run(listedAt)
	versions := Versions{Config: storecopy.Version{Revision: 7, Digest: 7}}
	for i := range s.cores {
		s.tick(i, Input{Versions: &versions})
	}
	s.tick(0, Input{Confirmed: &Confirmed{Copy: CopyConfig, At: listedAt}})
	s.run(6 * time.Second)
	for i, c := range s.cores {
		if at := c.ConfirmedAt(CopyConfig); at > listedAt || at < listedAt-10*time.Millisecond {
			t.Errorf("gateway %d knows a confirmation of %v, want %v and no later", i, at, listedAt)
		}
		if at := c.ConfirmedAt(CopyRegistrations); at != 0 {
			t.Errorf("gateway %d knows a confirmation of the registrations at %v, want none", i, at)
		}
	}
}

// TestConfirmationOfANewerCopyDoesNotConfirmAnOlderOne guards against a gateway that takes its copy
// for current because a gateway that is ahead has listed the store.
func TestConfirmationOfANewerCopyDoesNotConfirmAnOlderOne(t *testing.T) {
	c := newTestCore(t, 0, 1)
	own := Versions{Config: storecopy.Version{Revision: 7, Digest: 7}}
	c.Tick(time.Second, Input{Versions: &own})
	for _, test := range []struct {
		name  string
		other storecopy.Version
		row   ConfirmedRow
		known bool
	}{
		{"ahead", storecopy.Version{Revision: 8, Digest: 8}, ConfirmedRow{AgeMS: 10}, false},
		{"age below zero", own.Config, ConfirmedRow{AgeMS: -1}, false},
		{"age above the time since the start", own.Config, ConfirmedRow{AgeMS: 1 << 60}, false},
		{"unknown copy", own.Config, ConfirmedRow{Copy: copyKinds, AgeMS: 10}, false},
		{"same copy", own.Config, ConfirmedRow{AgeMS: 10}, true},
	} {
		c.Tick(time.Second, Input{Peer: &PeerMessage{
			From: gatewayAddr(1), Incarnation: 1, Versions: &Versions{Config: test.other}, Confirmed: []ConfirmedRow{test.row},
		}})
		if known := c.ConfirmedAt(CopyConfig) > 0; known != test.known {
			t.Errorf("%s: confirmed %t, want %t", test.name, known, test.known)
		}
	}
}
