package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/wire"
)

// listPath is the path of the platform's VM list below its base URL.
const listPath = "/v1/vms"

// maxListBytes bounds the VM list.
const maxListBytes = 16 << 20

// VM is one row of the platform's VM list.
type VM struct {
	Node          wire.NodeID        `json:"node"`
	Address       string             `json:"address"`
	Region        wire.Region        `json:"region"`
	FailureDomain wire.FailureDomain `json:"failure_domain"`
	Leaving       bool               `json:"leaving,omitempty"`
	Endpoint      wire.EndpointID    `json:"endpoint,omitempty"` // set for an agent's VM
}

// List is the body of the platform's answer.
type List struct {
	VMs []VM `json:"vms"`
}

// VMListClient reads the VM list over HTTP. It is safe for concurrent use.
type VMListClient struct {
	url  string
	http *http.Client
}

// NewVMListClient returns a client of the VM list at baseURL.
func NewVMListClient(baseURL string, hc *http.Client) *VMListClient {
	if hc == nil {
		hc = http.DefaultClient
	}
	return &VMListClient{url: strings.TrimRight(baseURL, "/") + listPath, http: hc}
}

// Fetch returns the present list. It is an error if a row has no node or no
// address, or if a node occurs twice.
func (c *VMListClient) Fetch(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create VM list request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch VM list: status %d, want 200", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	if len(raw) > maxListBytes {
		return nil, fmt.Errorf("VM list: longer than %d bytes", maxListBytes)
	}
	return parseList(raw)
}

func parseList(raw []byte) ([]VM, error) {
	var list List
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrap(err, "decode VM list")
	}
	seen := make(map[wire.NodeID]bool, len(list.VMs))
	for i, vm := range list.VMs {
		if vm.Node == "" || vm.Address == "" {
			return nil, fmt.Errorf("VM list: row %d has no node or no address", i)
		}
		if seen[vm.Node] {
			return nil, fmt.Errorf("VM list: node %q occurs twice", vm.Node)
		}
		seen[vm.Node] = true
	}
	return list.VMs, nil
}
