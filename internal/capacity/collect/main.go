// Command collect runs the tests that measure cost against size and writes
// their points to one file.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/greengagegate/greengagegate/internal/capacity"
	"github.com/greengagegate/greengagegate/internal/slope"
)

func main() {
	out := flag.String("out", "measure/slopes.json", "file to write")
	page := flag.String("page", "docs/CAPACITY.md", "page whose tables are brought up to date")
	reuse := flag.Bool("reuse", false, "measure nothing, only bring the page up to date with the file")
	flag.Parse()
	if err := run(*out, *page, *reuse, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "collect:", err)
		os.Exit(1)
	}
}

func run(out, page string, reuse bool, packages []string) error {
	if reuse {
		record, err := capacity.ReadRecord(out)
		if err != nil {
			return err
		}
		return capacity.UpdatePage(page, record)
	}
	var record capacity.Record
	for _, name := range packages {
		points, err := measure(name)
		if err != nil {
			return fmt.Errorf("measure %s: %w", name, err)
		}
		fmt.Printf("%s: %d points\n", name, len(points))
		record.Points = append(record.Points, points...)
	}
	encoded, err := json.MarshalIndent(record, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(out, append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	return capacity.UpdatePage(page, record)
}

// measure runs one package's measurement. A package without points is an error.
func measure(name string) ([]slope.Point, error) {
	command := exec.Command("go", "test", "-run", "Slopes", "-count=1", "-timeout", "30m", "-v", name, "-slopes")
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		_, _ = os.Stderr.Write(output)
		return nil, err
	}
	var points []slope.Point
	scanner := bufio.NewScanner(bytes.NewReader(output))
	for scanner.Scan() {
		text, ok := strings.CutPrefix(scanner.Text(), slope.Prefix)
		if !ok {
			continue
		}
		var point slope.Point
		if err := json.Unmarshal([]byte(text), &point); err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	if len(points) == 0 {
		return nil, fmt.Errorf("no points in the output")
	}
	return points, scanner.Err()
}
