// Package configcheck finds what an operator should know about a configuration before it is
// sent: errors, entries that can never match, limits that contradict each other, and the
// differences from the configuration in force. It checks the product's own objects (Objects)
// and configurations of a platform's store (Config.Check). All functions are pure.
package configcheck

import (
	"fmt"
	"strings"
)

// Severity tells what a finding means for the configuration.
type Severity string

const (
	// Error marks what is refused or ignored, or has no definite meaning.
	Error Severity = "error"
	// Warning marks what is accepted and has probably another effect than intended.
	Warning Severity = "warning"
)

// Finding is one remark on an entry of a configuration.
type Finding struct {
	// File is the path of the file with the entry. The checks of this package leave it empty.
	File     string   `json:"file,omitempty"`
	Severity Severity `json:"severity"`
	// Entry is the kind and the name of the entry, such as "Route/charges".
	Entry string `json:"entry"`
	// Field is the name of the field as it is written in the file, or "" if the finding
	// is about the whole entry.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	var line strings.Builder
	for _, part := range []string{f.File, string(f.Severity), f.Entry, f.Field} {
		if part != "" {
			line.WriteString(part + ": ")
		}
	}
	return line.String() + f.Message
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// report collects findings.
type report []Finding

func (r *report) add(severity Severity, entry, field, format string, args ...any) {
	*r = append(*r, Finding{Severity: severity, Entry: entry, Field: field, Message: fmt.Sprintf(format, args...)})
}

// warnIf adds a warning if a condition is true.
func (r *report) warnIf(condition bool, entry, field, format string, args ...any) {
	if condition {
		r.add(Warning, entry, field, format, args...)
	}
}
