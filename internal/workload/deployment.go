package workload

import (
	"time"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// Deployment describes one fleet: its failure domains and the numbers of entries,
// engines and plain services.
type Deployment struct {
	Name     string
	Region   wire.Region
	Domains  []wire.FailureDomain
	Entries  int // assigned to the failure domains round-robin
	Model    string
	Engines  int // replicas of Model
	Service  string
	Services int  // replicas of Service
	Write    Call // not idempotent
	Read     Call // idempotent
	// DomainDelay is the one-way latency between failure domains.
	DomainDelay time.Duration
}

// Call is the method and path of one kind of plain service call.
type Call struct {
	Method string
	Path   string
}

// Atitlan describes the Atitlán deployment.
func Atitlan() Deployment {
	return Deployment{
		Name:     "atitlan",
		Region:   "guate-central",
		Domains:  []wire.FailureDomain{"zona-antigua", "zona-xela", "zona-capital"},
		Entries:  3,
		Model:    "luthier-modelo",
		Engines:  18,
		Service:  "mostrador-pedidos",
		Services: 3,
		Write:    Call{Method: "POST", Path: "/reservations"},
		Read:     Call{Method: "GET", Path: "/stock"},

		DomainDelay: 500 * time.Microsecond,
	}
}

// Sanabil describes the Sanabil deployment.
func Sanabil() Deployment {
	return Deployment{
		Name:     "sanabil",
		Region:   "tell-nord",
		Domains:  []wire.FailureDomain{"beja", "jendouba", "siliana"},
		Entries:  3,
		Model:    "sanabil-llm",
		Engines:  16,
		Service:  "sanabil-ledger",
		Services: 3,
		Write:    Call{Method: "POST", Path: "/estimates"},
		Read:     Call{Method: "GET", Path: "/parcels"},

		DomainDelay: time.Millisecond,
	}
}

// DeploymentByName returns the deployment with the given name, or an error if there is none.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Atitlan(), Sanabil()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Errorf("deployment %q does not exist: want atitlan or sanabil", name)
}

// DomainOf returns the failure domain of the i-th process of a role, counted from 0.
func (d Deployment) DomainOf(i int) wire.FailureDomain {
	return d.Domains[i%len(d.Domains)]
}
