// Command greengage-router accepts callers and routes their requests to upstreams.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/app"
	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

func main() {
	s := app.NewRouterSettings()
	os.Exit(daemon.Main(daemon.Program{
		Name:        "greengage-router",
		Summary:     "accepts callers and routes their requests to upstreams",
		Sections:    s.Sections(),
		StopTimeout: s.StopTimeout,
		Options: func(zerolog.Logger) fx.Option {
			s.Runtime.Apply()
			return app.Router(s)
		},
	}))
}
