package ctl

import (
	"fmt"
	"os"

	"github.com/greengagegate/greengagegate/internal/configcheck"
	"github.com/greengagegate/greengagegate/internal/fault"
)

// platformReport is the JSON output of check-platform.
type platformReport struct {
	// Valid is true if there are no errors.
	Valid    bool                  `json:"valid"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes holds the differences from the configuration in force; it is empty without -in-force.
	Changes []configcheck.Change `json:"changes"`
}

// checkPlatform runs the check-platform command. It prints the findings on a configuration
// of the platform's store, and with -in-force how it differs from the configuration there.
func (c *command) checkPlatform() int {
	if c.flags.NArg() != 1 {
		return c.failUsage("name one file with the configuration")
	}
	file := c.flags.Arg(0)
	config, code := c.readConfig(file)
	if code != ExitOK {
		return code
	}
	var inForce *configcheck.Config
	var changes []configcheck.Change
	if c.inForce != "" {
		if inForce, code = c.readConfig(c.inForce); code != ExitOK {
			return code
		}
		changes = configcheck.Diff(inForce.Entries, config.Entries)
	}
	findings := config.Check(inForce)
	for i := range findings {
		findings[i].File = file
	}
	errors := configcheck.Count(findings, configcheck.Error)
	if !c.printJSON(platformReport{Valid: errors == 0, Findings: findings, Changes: changes}) {
		printLines(c.stdout, findings)
		printLines(c.stdout, changes)
		fmt.Fprintf(c.stdout, "%d errors, %d warnings, %d differences\n", errors, len(findings)-errors, len(changes))
	}
	if code := c.findingsCode(findings); code != ExitOK {
		return code
	}
	if len(changes) > 0 {
		return ExitDiffers
	}
	return ExitOK
}

// readConfig reads and decodes a configuration. On failure it prints the reason and returns
// an exit code other than ExitOK.
func (c *command) readConfig(file string) (*configcheck.Config, int) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, c.fail(err)
	}
	config, err := c.decode(content)
	if err != nil {
		c.fail(fault.Wrap(err, "check", file))
		return nil, ExitInvalid
	}
	return config, ExitOK
}
