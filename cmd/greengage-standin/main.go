// Command greengage-standin runs stand-ins for the platform, model engines, plain
// services and the cache store, for tests and demonstrations.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/greengagegate/greengagegate/internal/standin/host"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

func main() {
	settings := host.Defaults()
	os.Exit(daemon.Main(daemon.Program{
		Name:     "greengage-standin",
		Summary:  "runs stand-ins for the platform, engines, services and the cache store",
		Sections: settings.Sections(),
		Options: func(zerolog.Logger) fx.Option {
			return fx.Options(
				fx.Supply(settings),
				fx.Provide(host.New),
				fx.Invoke(register),
			)
		},
	}))
}

// register starts and stops the stand-ins with the application.
func register(lifecycle fx.Lifecycle, manager *host.Manager) {
	lifecycle.Append(fx.Hook{OnStart: manager.Start, OnStop: manager.Stop})
}
