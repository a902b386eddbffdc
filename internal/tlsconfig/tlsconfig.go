// Package tlsconfig provides mutual TLS between the processes of a deployment.
// Certificates come from files named in the settings and are read again when
// the files change. A certificate holds the role of its process as a DNS name and
// the name of the process as the common name.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Role is the DNS name in a certificate that states the role its holder may act in.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry.trefoilpath"
	RoleAgent Role = "agent.trefoilpath"
)

// Files names the PEM files of one process.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// recheckInterval is the minimum time between checks of the files for changes.
const recheckInterval = 2 * time.Second

// Source holds the certificate, key and authorities of one process. It is safe
// for concurrent use.
type Source struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time // when the files were last checked for changes
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files and fails if they don't hold a usable certificate.
func Load(f Files) (*Source, error) {
	s := &Source{files: f}
	if err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Static returns a source that does not read files.
func Static(cert tls.Certificate, pool *x509.CertPool) *Source {
	return &Source{cert: &cert, pool: pool}
}

func (s *Source) reload() error {
	modTimes, err := s.files.modTimes()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return errors.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s holds no certificate", s.files.CA)
	}
	s.cert, s.pool, s.modTimes = &cert, pool, modTimes
	return nil
}

func (f Files) modTimes() (modTimes [3]time.Time, err error) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, errors.WithStack(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// current returns the latest usable certificate and authorities. If changed files
// can't be loaded, the earlier ones stay in effect.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files.Cert == "" || time.Since(s.lastCheck) < recheckInterval {
		return s.cert, s.pool
	}
	s.lastCheck = time.Now()
	modTimes, err := s.files.modTimes()
	if err == nil && modTimes != s.modTimes {
		_ = s.reload()
	}
	return s.cert, s.pool
}

// Server returns the configuration for a listener that requires client
// certificates.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Operators returns the configuration for the operators' listener. It presents the
// certificate of the process and requests none: operators authenticate with a key.
func (s *Source) Operators() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, _ := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
			}, nil
		},
	}
}

// DialEntry connects to an entry and verifies that its certificate carries
// RoleEntry.
func (s *Source) DialEntry(ctx context.Context, network, address string) (net.Conn, error) {
	cert, pool := s.current()
	d := tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   string(RoleEntry),
	}}
	return d.DialContext(ctx, network, address)
}

// PeerIdentity returns the common name of the peer's verified certificate, or an
// error if there is none or it does not carry the role.
func PeerIdentity(state *tls.ConnectionState, role Role) (string, error) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return "", errors.New("no verified client certificate")
	}
	leaf := state.PeerCertificates[0]
	if !slices.Contains(leaf.DNSNames, string(role)) {
		return "", errors.Errorf("certificate of %q does not carry the role %s", leaf.Subject.CommonName, role)
	}
	return leaf.Subject.CommonName, nil
}
