package shell

import (
	"bytes"
	"io"
	"testing"

	"github.com/rs/zerolog"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/route"
	"trefoilpath.org/trefoilpath/internal/store"
	"trefoilpath.org/trefoilpath/internal/storecopy"
)

const testConfigKey = "config"

// configDecoder decodes each configuration as one without routes, whose version is the
// length of its value.
type configDecoder struct{ Decoder }

func (configDecoder) ConfigPrefix() string { return testConfigKey }

func (configDecoder) Config(value []byte) (*route.Config, error) {
	return &route.Config{Version: uint64(len(value))}, nil
}

type writerFunc func(line []byte)

func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

func configUpdate(value string) storecopy.Update {
	return storecopy.Update{Prefix: testConfigKey, Listing: storecopy.Listing{Pairs: []store.Pair{{Key: testConfigKey, Value: []byte(value)}}}}
}

// TestNoRequestIsAdmittedByAConfigurationThatTheCoreLacks checks that a configuration admits
// requests only once the core has it: without it the core doesn't know that a request is a
// prompt, whose parts may be in quarantine.
func TestNoRequestIsAdmittedByAConfigurationThatTheCoreLacks(t *testing.T) {
	g := New(Config{Decoder: configDecoder{}, Log: io.Discard})
	compared := 0
	g.log = zerolog.New(writerFunc(func(line []byte) {
		if !bytes.Contains(line, []byte("configuration-read")) {
			return
		}
		compared++
		if admitting, core := g.activeVersion(), readCore(g, coreVersion); admitting > core {
			t.Errorf("requests are admitted by version %d while the core has version %d", admitting, core)
		}
	}))
	for _, value := range []string{"1", "12"} {
		g.configChanged(configUpdate(value))
		if admitting, core := g.activeVersion(), readCore(g, coreVersion); admitting != uint64(len(value)) || core != admitting {
			t.Errorf("version %d admits requests and the core has %d, want %d", admitting, core, len(value))
		}
	}
	if compared != 2 {
		t.Errorf("%d configurations were read, want 2", compared)
	}
}

func coreVersion(c *gateway.Core) uint64 { return c.Dump().Version }
