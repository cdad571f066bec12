// Command greengagectl checks and publishes the configuration of a fleet.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
