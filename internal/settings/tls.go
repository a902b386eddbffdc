package settings

// TLSFiles names the PEM files for mutual TLS between processes. All are empty
// for plaintext, which is allowed on loopback only.
type TLSFiles struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"` // authority that signs the other processes' certificates
}

// Enabled reports whether the files are given.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// ServerTLSFiles names the PEM files with which an entry serves callers. Both
// are empty if the platform's balancer terminates TLS.
type ServerTLSFiles struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Enabled reports whether the files are given.
func (f ServerTLSFiles) Enabled() bool { return f != ServerTLSFiles{} }
