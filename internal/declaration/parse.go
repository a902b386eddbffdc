package declaration

import (
	"encoding/json"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/strictjson"
)

// MaxListBytes is the largest list file that Parse reads.
const MaxListBytes = 32 << 20

// File is a named list file.
type File struct {
	Name string
	Data []byte
}

// Parse reads both lists and checks them. The error lists the mistakes as
// strictjson.Mistakes, each with file, line and field. If a list is not valid JSON,
// references between entities are not checked.
func Parse(plans, entitlements File) (*Lists, error) {
	if err := checkSize(plans, entitlements); err != nil {
		return nil, err
	}
	l := &Lists{}
	planDoc := strictjson.Decode(plans.Name, plans.Data, &l.Plans)
	entitlementDoc := strictjson.Decode(entitlements.Name, entitlements.Data, &l.Entitlements)
	check(l, planDoc, entitlementDoc)
	if err := strictjson.Join(planDoc, entitlementDoc); err != nil {
		return nil, err
	}
	return l, nil
}

// Validate checks lists that did not come from files. The error lists the
// mistakes as strictjson.Mistakes, without lines.
func Validate(l *Lists) error {
	plans, entitlements := strictjson.New("plans"), strictjson.New("entitlements")
	check(l, plans, entitlements)
	return strictjson.Join(plans, entitlements)
}

// Format returns both lists as the JSON that Parse reads.
func Format(l *Lists) (plans, entitlements []byte, err error) {
	if plans, err = formatList(l.Plans); err != nil {
		return nil, nil, err
	}
	if entitlements, err = formatList(l.Entitlements); err != nil {
		return nil, nil, err
	}
	return plans, entitlements, nil
}

func formatList(list any) ([]byte, error) {
	out, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "format list")
	}
	return append(out, '\n'), nil
}

func checkSize(files ...File) error {
	for _, f := range files {
		if len(f.Data) > MaxListBytes {
			return errors.Errorf("%s: %d bytes are more than the bound of %d", f.Name, len(f.Data), MaxListBytes)
		}
	}
	return nil
}
