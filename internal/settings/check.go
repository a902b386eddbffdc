package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"trefoilpath.org/trefoilpath/internal/strictjson"
)

// Bounds on the values.
const (
	maxNameBytes     = 64
	maxWaitMS        = 24 * 60 * 60 * 1_000 // one day
	minMemoryBytes   = 64 << 20
	maxMemoryBytes   = 1 << 40
	minDescriptors   = 128
	maxDescriptors   = 1 << 30
	memoryPerBody    = 16 // memory of a process, in its largest bodies
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 1 << 30
	minHeaderBytes   = 1 << 10
	maxHeaderBytes   = 16 << 20
	maxStreams       = 1_000_000
	maxRoutingWeight = 1_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker records the mistakes in the values of one document.
type checker struct{ doc *strictjson.Document }

func (c *checker) name(field, value string) {
	if value == "" || len(value) > maxNameBytes {
		c.doc.Add(field, "want a name of 1 to %d bytes, got %d", maxNameBytes, len(value))
		return
	}
	if strings.ContainsFunc(value, func(r rune) bool { return !nameRune(r) }) {
		c.doc.Add(field, "%q has a character other than letters, digits, '.', '_' and '-'", value)
	}
}

func nameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '_' || r == '-'
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.doc.Add(field, "want an IP number and a port such as 10.0.0.7:8443, got %q", value)
	}
}

// dialable refuses the unspecified addresses 0.0.0.0 and ::, on which a process can
// only listen. Entry.check already reports a malformed listen_peers by address.
func (c *checker) dialable(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		if field == "advertise_peers" {
			c.address(field, value)
		}
		return
	}
	if a.Addr().IsUnspecified() {
		c.doc.Add(field, "other processes can't dial %s; give advertise_peers an IP number of this VM", value)
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.doc.Add(field, "want an http or https URL, got %q", value)
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.doc.Add(field, "the URL must have neither user, query nor fragment")
	}
}

// tlsFiles wants all three files, or none if all addresses are on loopback.
func (c *checker) tlsFiles(field string, f TLSFiles, addresses ...string) {
	if f.Enabled() {
		c.nonEmpty(field+".cert_file", f.CertFile)
		c.nonEmpty(field+".key_file", f.KeyFile)
		c.nonEmpty(field+".ca_file", f.CAFile)
		return
	}
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err == nil && !a.Addr().IsLoopback() {
			c.doc.Add(field, "is needed, as %s is not a loopback address", address)
			return
		}
	}
}

func (c *checker) serverTLSFiles(field string, f ServerTLSFiles) {
	if f.Enabled() {
		c.nonEmpty(field+".cert_file", f.CertFile)
		c.nonEmpty(field+".key_file", f.KeyFile)
	}
}

func (c *checker) nonEmpty(field, value string) {
	if value == "" {
		c.doc.Add(field, "must not be empty")
	}
}

func (c *checker) credential(field string, value Credential) {
	if !value.IsSet() {
		c.doc.Add(field, "want the SHA-256 of the operators' key (trefoilpath keyhash)")
	}
}

func (c *checker) integer(field string, v, least, most int64) {
	if v < least || v > most {
		c.doc.Add(field, "want an integer from %d to %d, got %d", least, most, v)
	}
}

// body wants a limit for bodies that the part of the memory for them has room for.
func (c *checker) body(field string, v, memoryBytes int64) {
	c.integer(field, v, minBodyBytes, min(maxBodyBytes, max(memoryBytes, minMemoryBytes)/memoryPerBody))
}

// descriptors wants 0 or a limit with which a process can run.
func (c *checker) descriptors(field string, v int64) {
	if v != 0 {
		c.integer(field, v, minDescriptors, maxDescriptors)
	}
}

// weight refuses NaN too, for which every comparison is false.
func (c *checker) weight(field string, v float64) {
	if !(v >= 0 && v <= maxRoutingWeight) {
		c.doc.Add(field, "want a number from 0 to %d, got %g", maxRoutingWeight, v)
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.doc.Add(field, "want one of %q, got %q", allowed, value)
	}
}

func (c *checker) level(field, value string) { c.oneOf(field, value, logLevels...) }
