package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

// Validity of the certificates that an Authority issues, from validBefore before to
// validAfter after their creation.
const (
	validBefore = time.Hour
	validAfter  = 24 * time.Hour
)

// Authority is a certificate authority kept in memory, for one-process
// deployments on loopback and for tests.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority creates an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of authority")
	}
	template := certificate("trefoilpath development authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate of authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of authority")
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert: cert, key: key, pool: pool}, nil
}

// Issue returns a source with a new certificate for the given name and role.
func (a *Authority) Issue(name string, role Role) (*Source, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrapf(err, "generate key of %s", name)
	}
	template := certificate(name)
	template.DNSNames = []string{string(role)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrapf(err, "create certificate of %s", name)
	}
	return Static(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, a.pool), nil
}

func certificate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validBefore),
		NotAfter:     now.Add(validAfter),
	}
}
