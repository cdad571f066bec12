// Command collect runs the tests that measure cost at several sizes, writes their
// points to one file and updates the tables of the capacity page.
//
// Usage: collect [flags] PACKAGE...
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
	page := flag.String("page", "docs/CAPACITY.md", "page whose tables are updated")
	reuse := flag.Bool("reuse", false, "do not measure; update the page from the existing file")
	flag.Parse()
	if err := run(*out, *page, *reuse, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "collect:", err)
		os.Exit(1)
	}
}

// run measures the packages, writes the points to out and updates page. With reuse it
// reads the points from out instead.
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

// measure runs the measurements of one package and returns their points. It returns
// an error if a test fails or the output has no points.
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
		encoded, ok := strings.CutPrefix(scanner.Text(), slope.Prefix)
		if !ok {
			continue
		}
		var point slope.Point
		if err := json.Unmarshal([]byte(encoded), &point); err != nil {
			return nil, err
		}
		points = append(points, point)
	}
	if len(points) == 0 {
		return nil, fmt.Errorf("the test output contains no points")
	}
	return points, scanner.Err()
}
