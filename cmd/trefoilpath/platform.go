package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"trefoilpath.org/trefoilpath/internal/gateway"
	"trefoilpath.org/trefoilpath/internal/gateway/shell"
	"trefoilpath.org/trefoilpath/internal/httpconn"
	"trefoilpath.org/trefoilpath/internal/settings"
	maderas "trefoilpath.org/trefoilpath/platform"
)

// storeDialTimeout is the timeout for connecting to the platform's store, whose
// network latency is about a millisecond.
const storeDialTimeout = 500 * time.Millisecond

// registerPlatformGateway adds the command that runs a gateway on the Maderas platform.
func registerPlatformGateway(app *kingpin.Application) {
	cmd := app.Command("platform-gateway", "Run a gateway on the Maderas platform: forwards callers' requests to endpoints that it reaches directly.")
	file := cmd.Flag("settings", "Settings file in the platform's format; by default the file that "+maderas.SettingsEnv+" names.").String()
	show := cmd.Flag("print-settings", "Print the settings, with defaults filled in, and exit.").Bool()
	metricsPort := cmd.Flag("metrics-port", "Port that serves counters, histograms and the dump; 0: none.").Default("0").Uint16()
	disable := cmd.Flag("disable-mechanism", "Switch off a decision of the gateway, to measure what it is worth. Not for service.").Hidden().Enums(gateway.MechanismNames()...)
	cmd.Action(func(*kingpin.ParseContext) error {
		path := *file
		if path == "" {
			path = maderas.SettingsPath()
		}
		load := func() (shell.Settings, error) {
			s, err := maderas.LoadSettings(path)
			if err == nil && *metricsPort != 0 {
				s.MetricsAddr = netip.AddrPortFrom(s.CallerAddr.Addr(), *metricsPort)
			}
			return s, err
		}
		s, err := load()
		if err != nil {
			return err
		}
		disabled, err := gateway.ParseMechanisms(*disable)
		if err != nil {
			return err
		}
		if *show && disabled != 0 {
			return errors.New("--disable-mechanism is for measurements and not checked as settings")
		}
		if *show {
			return settings.Print(os.Stdout, s)
		}
		return shell.New(shell.Config{
			Settings: s, Translator: maderas.HeaderTranslator{}, Decoder: maderas.NewDecoder(),
			Store: maderas.NewStore(s.StoreAddr, storeClient()), Log: os.Stdout, Reload: load, SettingsPath: path, Disabled: disabled,
		}).Run(context.Background())
	})
}

// storeClient returns the HTTP client for the platform's store.
func storeClient() *http.Client {
	dialer := &net.Dialer{Timeout: storeDialTimeout}
	return &http.Client{Transport: httpconn.NewTransport(dialer.DialContext)}
}
