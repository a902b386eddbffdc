package settings

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Print writes the effective settings, an Entry or an Agent, as JSON. Instead of
// a secret it writes whether it is set.
func Print(w io.Writer, settings any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(settings), "print settings")
}
