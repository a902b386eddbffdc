package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/operator"
	"trefoilpath.org/trefoilpath/internal/store"
)

// callTimeout bounds one call to the store or to an entry.
const callTimeout = 10 * time.Second

// operatorKeyVar is the name of the environment variable with the operators' key.
const operatorKeyVar = "TREFOILPATH_OPERATOR_KEY"

// Names of the two list files in a directory.
const (
	plansFile        = "plans.json"
	entitlementsFile = "entitlements.json"
)

// tlsFlags holds the flags with the certificate files for HTTPS.
type tlsFlags struct {
	ca, cert, key string
}

func (f *tlsFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("ca-file", "PEM file with the certificate authority of HTTPS servers; by default the system's authorities.").ExistingFileVar(&f.ca)
	cmd.Flag("cert-file", "PEM file with the client certificate for HTTPS servers.").ExistingFileVar(&f.cert)
	cmd.Flag("key-file", "PEM file with the private key of --cert-file.").ExistingFileVar(&f.key)
}

func (f *tlsFlags) client() (*http.Client, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.ca != "" {
		pem, err := os.ReadFile(f.ca)
		if err != nil {
			return nil, errors.Wrap(err, "--ca-file")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--ca-file: %s holds no certificate", f.ca)
		}
	}
	if f.cert != "" || f.key != "" {
		cert, err := tls.LoadX509KeyPair(f.cert, f.key)
		if err != nil {
			return nil, errors.Wrap(err, "load --cert-file and --key-file")
		}
		cfg.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Timeout: callTimeout, Transport: httpconn.NewStrict(&http.Transport{TLSClientConfig: cfg})}, nil
}

// storeFlags holds the flags that name the platform's store.
type storeFlags struct {
	url string
	tls tlsFlags
}

func (f *storeFlags) register(cmd *kingpin.CmdClause) {
	cmd.Flag("store", "Base URL of the platform's key-value service.").Required().StringVar(&f.url)
	f.tls.register(cmd)
}

func (f *storeFlags) client() (*store.HTTPClient, error) {
	hc, err := f.tls.client()
	if err != nil {
		return nil, err
	}
	return store.NewHTTPClient(f.url, hc), nil
}

// entryFlags holds the flags that name running processes and the operators' key.
type entryFlags struct {
	urls    []string
	keyFile string
}

func (f *entryFlags) register(cmd *kingpin.CmdClause, required bool) {
	flag := cmd.Flag("entry", "Base URL of the operators' interface of a process; repeat for several.")
	if required {
		flag = flag.Required()
	}
	flag.StringsVar(&f.urls)
	cmd.Flag("operator-key-file", "File with the operators' key; by default the key in "+operatorKeyVar+".").ExistingFileVar(&f.keyFile)
}

// clients returns a client for each process.
func (f *entryFlags) clients(hc *http.Client) ([]*operator.Client, error) {
	key := os.Getenv(operatorKeyVar)
	if f.keyFile != "" {
		text, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "--operator-key-file")
		}
		key = strings.TrimSpace(string(text))
	}
	if key == "" {
		return nil, errors.New("no operators' key: give --operator-key-file or set " + operatorKeyVar)
	}
	out := make([]*operator.Client, len(f.urls))
	for i, url := range f.urls {
		out[i] = operator.NewClient(url, key, hc)
	}
	return out, nil
}

// readLists reads and checks the two lists in a directory. The error for mistakes in
// them has the exit code exitInvalid.
func readLists(dir string) (*declaration.Lists, error) {
	plans, err := readListFile(dir, plansFile)
	if err != nil {
		return nil, err
	}
	entitlements, err := readListFile(dir, entitlementsFile)
	if err != nil {
		return nil, err
	}
	l, err := declaration.Parse(plans, entitlements)
	if err != nil {
		return nil, codedError{errors.Errorf("the lists have mistakes:\n%v", err), exitInvalid}
	}
	return l, nil
}

func readListFile(dir, name string) (declaration.File, error) {
	path := filepath.Join(dir, name)
	data, err := os.ReadFile(path)
	return declaration.File{Name: path, Data: data}, errors.Wrap(err, "read list")
}
