package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

const (
	// precedingWindow is the time before the end of a request in which log lines
	// about other events are shown, since they may explain its outcome.
	precedingWindow = 5 * time.Second
	// maxLogLineBytes is the length of the longest log line that can be read.
	maxLogLineBytes = 1 << 20
)

// logLine is one line of a gateway's log. Its source is the last word before the
// JSON, which log collectors set to the gateway's name, or else the path of the file.
type logLine struct {
	source string
	time   time.Time
	fields map[string]any
}

// field returns the value of a field as text, or "" if the line lacks the field.
func (l *logLine) field(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// outcomeMeanings describes each outcome that a gateway logs for a request, and
// states whether an upstream ran the request.
var outcomeMeanings = map[string]string{
	"answered":            "the upstream's answer was passed on unchanged",
	"caller-left":         "the caller closed its connection; the run was cancelled",
	"no-configuration":    "no configuration was known yet; not run",
	"configuration-stale": "the store and its evidence for withdrawn keys were out of reach for too long; not run",
	"malformed":           "the request could not be read; not run",
	"no-route":            "no route of the configuration in force matches; not run",
	"unknown-key":         "the key belongs to no customer of the configuration in force; not run",
	"body-too-large":      "the body is above the configuration's bound; not run",
	"memory":              "the bodies in memory were at their bound; not run",
	"customer-limit":      "the customer had too few tokens in this gateway's share; not run",
	"no-upstream":         "no upstream could take the request, see excluded; not run",
	"upstreams-full":      "each upstream that was asked said that it did not run the request; not run",
	"upstreams-busy":      "engines had so much work ahead that the answer would have been late; not run",
	"stopping":            "the gateway was stopping; not run",
	"quarantined":         "a content of the request is convicted of crashing upstreams, see convicted; not run",
	"upstreams-limited":   "the upstreams state limits, which all gateways together have reached; not run",
	"version-unknown":     "the caller resumes a stream, versions of the upstreams' software differ, and no gateway knows at which one it began; not run",
	"version-gone":        "the caller resumes a stream, and no upstream with its software version is left; not run",
	"on-trial":            "the request may have crashed upstreams and another gateway tries it, see suspect; not run",
	"timeout-not-run":     "the time was over before any upstream could take it; not run",
	"timeout":             "the time was over while an upstream may have run it; outcome unknown",
	"answer-lost":         "an upstream may have run it, its answer was lost; outcome unknown",
	"broken-off":          "the upstream's stream ended early and could not go on; the caller's connection was closed",
}

// explain runs the explain command. It prints the log lines of one request and what
// they mean.
func (c *command) explain() int {
	if c.flags.NArg() < 2 {
		return c.failUsage("explain ID FILE...")
	}
	id := c.flags.Arg(0)
	var lines []logLine
	for _, file := range c.flags.Args()[1:] {
		fileLines, err := readLog(file)
		if err != nil {
			return c.fail(err)
		}
		lines = append(lines, fileLines...)
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].time.Before(lines[k].time) })
	found := 0
	for i := range lines {
		if lines[i].field("request") != id {
			continue
		}
		found++
		c.printRequest(&lines[i], lines)
	}
	if found == 0 {
		c.printNotFound(id, lines)
		return ExitFailure
	}
	return ExitOK
}

// readLog returns the JSON lines of a log file. Lines without JSON or without a
// valid time are skipped. A log collector may put a prefix before the JSON; the
// last word of the prefix becomes the source of the line.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := logLine{source: file}
		if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
			continue
		}
		if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
			line.source = prefix[len(prefix)-1]
		}
		at, err := time.Parse(time.RFC3339Nano, line.field("time"))
		if err != nil {
			continue
		}
		line.time = at
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// printRequest prints the log line of a request: its outcome with the meaning, the
// fields that led to it, its attempts, and the changes shortly before it at the
// same gateway.
func (c *command) printRequest(line *logLine, all []logLine) {
	outcome := line.field("outcome")
	meaning := outcomeMeanings[outcome]
	if meaning == "" {
		meaning = "unknown reason"
	}
	fmt.Fprintf(c.stdout, "%s %s: status %s, %s: %s\n", formatTime(line), line.source, line.field("status"), outcome, meaning)
	for _, name := range []string{
		"customer", "route", "kind", "patience_ms", "took_ms", "first_ms", "config", "evidence_ms", "wanted", "version",
		"prompt_tokens", "missing_tokens", "cost_ms", "copied_from", "saved_in", "last_event", "excluded", "error",
	} {
		if value := line.field(name); value != "" {
			fmt.Fprintf(c.stdout, "    %-15s %s\n", name, value)
		}
	}
	attempts := strings.Fields(line.field("sends"))
	for i, attempt := range attempts {
		fmt.Fprintf(c.stdout, "    send %d          %s\n", i+1, attempt)
	}
	c.printPrecedingChanges(line, attempts, all)
}

// printPrecedingChanges prints the other log lines of the same gateway within
// precedingWindow before the end of the request. Lines about an upstream that no
// attempt went to are left out.
func (c *command) printPrecedingChanges(line *logLine, attempts []string, all []logLine) {
	for i := range all {
		other := &all[i]
		age := line.time.Sub(other.time)
		if other.source != line.source || age < 0 || age > precedingWindow || other.field("request") != "" {
			continue
		}
		if upstream := other.field("upstream"); upstream != "" && !strings.Contains(strings.Join(attempts, " "), upstream) {
			continue
		}
		fmt.Fprintf(c.stdout, "    %5d ms before %s", age.Milliseconds(), other.field("message"))
		for _, name := range []string{"upstream", "config", "model", "version", "prefix", "peer", "lines", "result", "error"} {
			if value := other.field(name); value != "" {
				fmt.Fprintf(c.stdout, " %s=%s", name, value)
			}
		}
		fmt.Fprintln(c.stdout)
	}
}

// printNotFound prints why the logs may lack the request, and every place where a
// gateway left out log lines.
func (c *command) printNotFound(id string, lines []logLine) {
	fmt.Fprintf(c.stdout, "no line of request %s: it reached none of these gateways, or it was served and is not in the sample\n", id)
	for i := range lines {
		if lines[i].field("message") == "gateway: lines left out" {
			fmt.Fprintf(c.stdout, "%s %s: %s lines were left out in the second before\n", formatTime(&lines[i]), lines[i].source, lines[i].field("lines"))
		}
	}
}

// formatTime returns the time of day of the line in UTC, in milliseconds.
func formatTime(line *logLine) string { return line.time.UTC().Format("15:04:05.000") }
