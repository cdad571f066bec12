// Command greengage-gateway passes requests through whole, from callers to
// upstreams that it reaches without agents, on the users' platform.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/app"
	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/platform"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

func main() {
	s := app.NewGatewaySettings()
	os.Exit(daemon.Main(daemon.Program{
		Name:        "greengage-gateway",
		Summary:     "passes requests through whole to upstreams",
		Sections:    s.Sections(),
		StopTimeout: s.StopTimeout,
		SettingsEnv: platform.SettingsVariable,
		Options: func(zerolog.Logger) fx.Option {
			s.Runtime.Apply()
			return app.Gateway(s, platform.Platform{})
		},
	}))
}
