package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"trefoilpath.org/trefoilpath/internal/load"
)

func TestLoadWritesItsResultAsJSON(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	f := &loadFlags{
		targets: []string{srv.URL}, deployment: "sanabil", rate: 2000, seed: 3, noLong: true,
		duration: time.Minute, maxRequests: 20, jsonFile: "-", quiet: true,
	}
	var out bytes.Buffer
	if err := runLoad(f, &out, nil); err != nil {
		t.Fatal(err)
	}
	var res load.Result
	if err := json.Unmarshal(out.Bytes(), &res); err != nil {
		t.Fatal(err)
	}
	if res.Sent != 20 || res.NoAnswer != 20 {
		t.Errorf("result %+v, want 20 requests sent and none answered with an outcome", res)
	}
}

func TestLoadRefusesBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"load"},
		{"load", "--target", "http://127.0.0.1:1", "--rate", "-1"},
		{"load", "--target", "http://127.0.0.1:1", "--for", "0s"},
		{"load", "--target", "http://127.0.0.1:1", "--deployment", "other"},
	} {
		app := kingpin.New("trefoilpath", "")
		registerLoad(app)
		if _, err := app.Parse(args); err == nil {
			t.Errorf("invalid flags %v were accepted", args)
		}
	}
}
