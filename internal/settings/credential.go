package settings

import (
	"crypto/subtle"

	"trefoilpath.org/trefoilpath/internal/declaration"
)

// Credential is the SHA-256 of the operators' bearer key. It is never printed.
type Credential struct{ hash declaration.KeyHash }

// NewCredential returns the credential that the bearer key matches.
func NewCredential(key string) Credential { return Credential{hash: declaration.HashKey(key)} }

// IsSet reports whether a hash was given.
func (c Credential) IsSet() bool { return c != Credential{} }

// Matches reports whether key is the bearer key. The hashes are compared in
// constant time. An unset credential matches nothing.
func (c Credential) Matches(key string) bool {
	h := declaration.HashKey(key)
	return subtle.ConstantTimeCompare(c.hash[:], h[:]) == 1 && c.IsSet()
}

// UnmarshalText parses the hash in hexadecimal.
func (c *Credential) UnmarshalText(text []byte) error { return c.hash.UnmarshalText(text) }

// MarshalText returns only whether a hash was given, not the hash.
func (c Credential) MarshalText() ([]byte, error) {
	if c.IsSet() {
		return []byte("(set)"), nil
	}
	return []byte("(unset)"), nil
}
