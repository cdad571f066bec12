// Command greengage-gateway forwards complete requests from callers to upstreams.
// It runs on the users' platform and reaches upstreams without agents.
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
		Summary:     "forwards complete requests to upstreams",
		Sections:    s.Sections(),
		StopTimeout: s.StopTimeout,
		SettingsEnv: platform.SettingsVariable,
		Options: func(zerolog.Logger) fx.Option {
			s.Runtime.Apply()
			return app.Gateway(s, platform.Platform{})
		},
	}))
}
