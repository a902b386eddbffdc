package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/entry"
)

// maxResponseBytes bounds a response.
const maxResponseBytes = 256 << 20

// maxShownErrorBytes bounds the part of an error response that an error quotes.
const maxShownErrorBytes = 1 << 10

// Client calls the operators' interface of one process. It is safe for
// concurrent use.
type Client struct {
	url  string
	key  string
	http *http.Client

	maxResponseBytes int64 // a longer response is an error
}

// NewClient returns a client for the process at baseURL. Key is the operators'
// bearer key.
func NewClient(baseURL, key string, hc *http.Client) *Client {
	return &Client{url: strings.TrimRight(baseURL, "/"), key: key, http: hc, maxResponseBytes: maxResponseBytes}
}

// URL returns the base URL of the process.
func (c *Client) URL() string { return c.url }

// Status returns the state of the entry and of the peers that it knows.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var s entry.Status
	body, err := c.call(ctx, http.MethodGet, "/v1/operator/status")
	if err != nil {
		return s, err
	}
	return s, errors.Wrapf(json.Unmarshal(body, &s), "decode status of %s", c.url)
}

// Dump returns the tables of the process as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/operator/dump")
}

// Drain starts a graceful shutdown of the process.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, "/v1/operator/drain")
	return err
}

func (c *Client) call(ctx context.Context, method, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of %s", c.url)
	}
	if int64(len(body)) > c.maxResponseBytes {
		return nil, errors.Errorf("response of %s is larger than %d bytes", c.url, c.maxResponseBytes)
	}
	if resp.StatusCode/100 != 2 {
		text := strings.TrimSpace(string(body[:min(len(body), maxShownErrorBytes)]))
		return nil, errors.Errorf("%s answered %s: %s", c.url, resp.Status, text)
	}
	return body, nil
}
