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
	// beliefWindow is how far before a request's end the changes are shown that
	// may have decided on it.
	beliefWindow = 5 * time.Second
	// maxLogLine bounds a line of a log file.
	maxLogLine = 1 << 20
)

// logLine is a line of a gateway's log.
type logLine struct {
	file   string
	at     time.Time
	fields map[string]any
}

func (l *logLine) text(name string) string {
	if value, ok := l.fields[name]; ok {
		return fmt.Sprint(value)
	}
	return ""
}

// meanings says what each reason of a gateway's own answers means, and whether
// the request has run.
var meanings = map[string]string{
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
	"timeout-not-run":     "the time was over before any upstream could take it; not run",
	"timeout":             "the time was over while an upstream may have run it; outcome unknown",
	"answer-lost":         "an upstream may have run it, its answer was lost; outcome unknown",
	"broken-off":          "the upstream's stream ended early and could not go on; the caller's connection was closed",
}

// explain prints what the logs tell of one request.
func (c *command) explain() int {
	if c.flags.NArg() < 2 {
		return c.usage("explain ID FILE...")
	}
	id := c.flags.Arg(0)
	var lines []logLine
	for _, file := range c.flags.Args()[1:] {
		read, err := readLog(file)
		if err != nil {
			return c.fail(err)
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].at.Before(lines[k].at) })
	found := 0
	for i := range lines {
		if lines[i].text("request") != id {
			continue
		}
		found++
		c.story(&lines[i], lines)
	}
	if found == 0 {
		c.missing(id, lines)
		return ExitFailure
	}
	return ExitOK
}

// readLog reads the JSON lines of a file. Text before a line's first brace, such
// as a prefix that a collector adds, is passed over.
func readLog(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := logLine{file: file}
		if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
			continue
		}
		if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
			line.file = prefix[len(prefix)-1]
		}
		at, err := time.Parse(time.RFC3339Nano, line.text("time"))
		if err != nil {
			continue
		}
		line.at = at
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// story prints a request's line with its meaning, its inputs, and what changed
// shortly before at the same gateway.
func (c *command) story(line *logLine, all []logLine) {
	reason := line.text("outcome")
	meaning := meanings[reason]
	if meaning == "" {
		meaning = "unknown reason"
	}
	fmt.Fprintf(c.stdout, "%s %s: status %s, %s: %s\n", stamp(line), line.file, line.text("status"), reason, meaning)
	for _, name := range []string{
		"customer", "route", "kind", "patience_ms", "took_ms", "first_ms", "config", "evidence_ms", "wanted", "version",
		"prompt_tokens", "missing_tokens", "cost_ms", "copied_from", "saved_in", "last_event", "excluded", "error",
	} {
		if value := line.text(name); value != "" {
			fmt.Fprintf(c.stdout, "    %-15s %s\n", name, value)
		}
	}
	sends := strings.Fields(line.text("sends"))
	for i, send := range sends {
		fmt.Fprintf(c.stdout, "    send %d          %s\n", i+1, send)
	}
	c.beliefs(line, sends, all)
}

// beliefs prints the changes that may have decided on a request.
func (c *command) beliefs(line *logLine, sends []string, all []logLine) {
	for i := range all {
		other := &all[i]
		age := line.at.Sub(other.at)
		if other.file != line.file || age < 0 || age > beliefWindow || other.text("request") != "" {
			continue
		}
		if upstream := other.text("upstream"); upstream != "" && !strings.Contains(strings.Join(sends, " "), upstream) {
			continue
		}
		fmt.Fprintf(c.stdout, "    %5d ms before %s", age.Milliseconds(), other.text("message"))
		for _, name := range []string{"upstream", "config", "model", "version", "prefix", "peer", "lines", "result", "error"} {
			if value := other.text(name); value != "" {
				fmt.Fprintf(c.stdout, " %s=%s", name, value)
			}
		}
		fmt.Fprintln(c.stdout)
	}
}

// missing says why there may be no line of a request.
func (c *command) missing(id string, lines []logLine) {
	fmt.Fprintf(c.stdout, "no line of request %s: it reached none of these gateways, or it was served and is not in the sample\n", id)
	for i := range lines {
		if lines[i].text("message") == "gateway: lines left out" {
			fmt.Fprintf(c.stdout, "%s %s: %s lines were left out in the second before\n", stamp(&lines[i]), lines[i].file, lines[i].text("lines"))
		}
	}
}

func stamp(line *logLine) string { return line.at.UTC().Format("15:04:05.000") }
