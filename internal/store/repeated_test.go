package store_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"trefoilpath.org/trefoilpath/internal/standin"
	"trefoilpath.org/trefoilpath/internal/store"
)

func TestRepeatedRefusalOfTheStoreIsNoProofForTheNextWrite(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusBadRequest} {
		srv, err := standin.NewRepeater(func(_ *http.Request, body []byte) (int, string) {
			var op store.Op
			if json.Unmarshal(body, &op) != nil || op.Key == "refused" {
				return status, ""
			}
			raw, _ := json.Marshal(store.Result{ID: op.ID, Status: store.StatusOK})
			return http.StatusOK, string(raw)
		})
		if err != nil {
			t.Fatal(err)
		}
		transport := &http.Transport{}
		c := store.NewHTTPClient(srv.URL(), &http.Client{Transport: transport})
		c.Do(context.Background(), store.Op{ID: 1, Kind: store.OpPut, Key: "refused"})
		time.Sleep(50 * time.Millisecond) // the client keeps the connection
		if got := c.Do(context.Background(), store.Op{ID: 2, Kind: store.OpPut, Key: "written"}); got.Status != store.StatusOK {
			t.Errorf("status %d: got %+v for a write that took effect, want StatusOK", status, got)
		}
		transport.CloseIdleConnections()
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
	}
}
