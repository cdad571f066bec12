package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/greengagegate/greengagegate/internal/object"
	"sigs.k8s.io/yaml"
)

// secretPrefix makes secrets easy to find where they do not belong.
const secretPrefix = "ggk-"

// checkReport is the JSON form of a check without mistakes.
type checkReport struct {
	Valid   bool `json:"valid"`
	Objects int  `json:"objects"`
}

// check checks the files as a whole set and lists every mistake, those of form
// and those of content.
func (c *command) check() int {
	if c.flags.NArg() == 0 {
		return c.usage("name the files or directories with the objects")
	}
	documents, mistakes := object.ReadFiles(c.flags.Args()...)
	_, wrong := object.Check(0, documents)
	mistakes = append(mistakes, wrong...)
	if len(mistakes) > 0 {
		return c.printMistakes(mistakes)
	}
	if !c.printJSON(checkReport{Valid: true, Objects: len(documents)}) {
		fmt.Fprintf(c.stdout, "%d objects, no mistakes\n", len(documents))
	}
	return ExitOK
}

// keyReport is the JSON form of a new key.
type keyReport struct {
	Secret string    `json:"secret"`
	Object keyObject `json:"object"`
}

// keyObject is a Key object in the form of a file.
type keyObject struct {
	Kind object.Kind `json:"kind"`
	Name string      `json:"name"`
	Spec object.Key  `json:"spec"`
}

// newKey makes a secret, and prints it beside the object that holds its digest only.
func (c *command) newKey() int {
	if c.customer == "" || c.name == "" {
		return c.usage("key needs -customer and -name")
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
