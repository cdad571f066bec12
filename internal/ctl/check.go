package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/greengagegate/greengagegate/internal/configcheck"
	"github.com/greengagegate/greengagegate/internal/object"
	"sigs.k8s.io/yaml"
)

// secretPrefix starts every secret, so that secrets which leak into logs or source
// code can be found by a search.
const secretPrefix = "ggk-"

// checkReport is the JSON output of a check that finds no mistakes.
type checkReport struct {
	Valid    bool                  `json:"valid"`
	Objects  int                   `json:"objects"`
	Warnings []configcheck.Finding `json:"warnings,omitempty"`
}

// check runs the check command. It checks the files together as one complete set
// and prints every mistake, both those of parsing and those of content. If there is none,
// it prints the warnings.
func (c *command) check() int {
	if c.flags.NArg() == 0 {
		return c.failUsage("name the files or directories with the objects")
	}
	documents, mistakes := object.ReadFiles(c.flags.Args()...)
	set, checkMistakes := object.Check(0, documents)
	mistakes = append(mistakes, checkMistakes...)
	if len(mistakes) > 0 {
		return c.printMistakes(mistakes)
	}
	warnings := configcheck.Objects(set)
	files := make(map[string]string, len(documents))
	for _, document := range documents {
		files[document.Key()] = document.File
	}
	for i := range warnings {
		warnings[i].File = files[warnings[i].Entry]
	}
	if !c.printJSON(checkReport{Valid: true, Objects: len(documents), Warnings: warnings}) {
		printLines(c.stdout, warnings)
		fmt.Fprintf(c.stdout, "%d objects, no mistakes, %d warnings\n", len(documents), len(warnings))
	}
	return c.findingsCode(warnings)
}

// findingsCode returns ExitInvalid if there are errors, or warnings while -strict is set,
// and otherwise ExitOK.
func (c *command) findingsCode(findings []configcheck.Finding) int {
	if configcheck.Count(findings, configcheck.Error) > 0 || c.strict && len(findings) > 0 {
		return ExitInvalid
	}
	return ExitOK
}

// printLines prints each item on a line of its own.
func printLines[T fmt.Stringer](w io.Writer, items []T) {
	for _, item := range items {
		fmt.Fprintln(w, item)
	}
}

// keyReport is the JSON output for a new key.
type keyReport struct {
	Secret string    `json:"secret"`
	Object keyObject `json:"object"`
}

// keyObject is a Key object as it is written in a file.
type keyObject struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	Spec object.Key  `json:"spec"`
}

// createKey runs the key command. It prints a new random secret and a Key object
// that holds only the digest of the secret. Without -json the secret goes to
// standard error, so that standard output can be saved as the object's file.
func (c *command) createKey() int {
	if c.customer == "" || c.name == "" {
		return c.failUsage("key needs -customer and -name")
	}
	secret := secretPrefix + rand.Text()
	digest := sha256.Sum256([]byte(secret))
	report := keyReport{
		Secret: secret,
		Object: keyObject{
			Kind: object.KindKey,
			Name: c.name,
			Spec: object.Key{
				SHA256: hex.EncodeToString(digest[:]), Customer: c.customer, State: object.KeyActive,
			},
		},
	}
	if c.printJSON(report) {
		return ExitOK
	}
	text, err := yaml.Marshal(report.Object)
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.stderr, "secret, shown once and not kept: %s\n", secret)
	fmt.Fprintf(c.stdout, "%s", text)
	return ExitOK
}
