// Command greengage-agent runs beside one upstream and passes it the requests that
// routers send.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/app"
	"github.com/greengagegate/greengagegate/internal/daemon"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

func main() {
	s := app.NewAgentSettings()
	os.Exit(daemon.Main(daemon.Program{
		Name:        "greengage-agent",
		Summary:     "runs beside one upstream and serves routers",
		Sections:    s.Sections(),
		StopTimeout: s.StopTimeout,
		Options: func(zerolog.Logger) fx.Option {
			s.Runtime.Apply()
			return app.Agent(s)
		},
	}))
}
