// Command greengagectl checks and publishes the configuration of a fleet.
package main

import (
	"os"

	"github.com/greengagegate/greengagegate/internal/ctl"
	"github.com/greengagegate/greengagegate/platform"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], platform.ConfigForCheck, os.Stdout, os.Stderr))
}
