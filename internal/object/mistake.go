package object

import (
	"fmt"
	"strings"
)

// Mistake is a reason why a set of objects cannot be published.
type Mistake struct {
	// File is the path of the file that holds the object, or "" if the object came through the API.
	File string `json:"file,omitempty"`
	// Object is the record key of the object, such as "Route/charges", or the position
	// of the document in its file if kind and name cannot be read.
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

// Mistakes holds all mistakes of a set. It implements error. An empty Mistakes must not be
// converted to error, because the result would not be nil.
type Mistakes []Mistake

// Error returns the mistakes, one on each line.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}
