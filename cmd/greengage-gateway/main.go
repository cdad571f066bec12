// Command greengage-gateway forwards requests from callers to upstreams directly,
// without agents, on a platform whose store lists the upstreams. In contrast,
// greengage-router reaches upstreams through agents.
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
		Summary:     "forwards requests to upstreams directly, without agents",
		Sections:    s.Sections(),
		StopTimeout: s.StopTimeout,
		SettingsEnv: platform.SettingsVariable,
		Options: func(zerolog.Logger) fx.Option {
			s.Runtime.Apply()
			return app.Gateway(s, platform.Platform{})
		},
	}))
}
