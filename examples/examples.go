// Package examples embeds the plans and entitlements of two example deployments and
// the bearer keys of their client accounts. The keys are public and must never be
// used outside development.
package examples

import (
	"embed"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

//go:embed atitlan/*.json sanabil/*.json
var files embed.FS

// Deployment describes one example deployment.
type Deployment struct {
	Name           string
	Region         wire.Region
	FailureDomains []wire.FailureDomain
	Model          Replicas
	Service        Replicas
}

// Replicas is a number of endpoints for one model or plain service.
type Replicas struct {
	Name  string
	Count int
}

// Key is the bearer key, not hashed, of one example client account.
type Key struct {
	Account wire.AccountID `json:"account"`
	Key     string         `json:"key"`
}

// Deployments returns the example deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:           "atitlan",
			Region:         "guate-central",
			FailureDomains: []wire.FailureDomain{"zona-antigua", "zona-xela", "zona-capital"},
			Model:          Replicas{Name: "luthier-modelo", Count: 18},
			Service:        Replicas{Name: "mostrador-pedidos", Count: 3},
		},
		{
			Name:           "sanabil",
			Region:         "tell-nord",
			FailureDomains: []wire.FailureDomain{"beja", "jendouba", "siliana"},
			Model:          Replicas{Name: "sanabil-llm", Count: 16},
			Service:        Replicas{Name: "sanabil-ledger", Count: 3},
		},
	}
}

// Find returns the example deployment with that name and whether it exists.
func Find(name string) (Deployment, bool) {
	all := Deployments()
	i := slices.IndexFunc(all, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return Deployment{}, false
	}
	return all[i], true
}

// Lists parses the deployment's plans.json and entitlements.json.
func (d Deployment) Lists() (*declaration.Lists, error) {
	plans, err := d.file("plans.json")
	if err != nil {
		return nil, err
	}
	entitlements, err := d.file("entitlements.json")
	if err != nil {
		return nil, err
	}
	return declaration.Parse(plans, entitlements)
}

// Keys returns the bearer keys of the deployment's client accounts, in the order of
// the accounts. They are for development only.
func (d Deployment) Keys() ([]Key, error) {
	f, err := d.file("example-keys.json")
	if err != nil {
		return nil, err
	}
	var keys []Key
	if err := json.Unmarshal(f.Data, &keys); err != nil {
		return nil, errors.Wrap(err, f.Name)
	}
	return keys, nil
}

func (d Deployment) file(name string) (declaration.File, error) {
	path := d.Name + "/" + name
	data, err := files.ReadFile(path)
	if err != nil {
		return declaration.File{}, errors.Wrap(err, "read embedded example")
	}
	return declaration.File{Name: path, Data: data}, nil
}
