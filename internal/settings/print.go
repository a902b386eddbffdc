package settings

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Print writes the settings in force, an Entry or an Agent, as JSON. Secrets
// are replaced by whether they are set.
func Print(w io.Writer, settings any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(settings), "print settings")
}
