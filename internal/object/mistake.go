package object

import (
	"fmt"
	"strings"
)

// Mistake is one reason why a set of objects cannot be published.
type Mistake struct {
	// File is where the object was read from, or "" when it came over the API.
	File string `json:"file,omitempty"`
	// Object is the kind and name, such as "Route/charges".
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	var parts []string
	for _, part := range []string{m.File, m.Object, m.Field} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return fmt.Sprintf("%s: %s", strings.Join(parts, ": "), m.Reason)
}

// Mistakes lists all the mistakes of a set. It is an error when not empty.
type Mistakes []Mistake

// Error implements error.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}
