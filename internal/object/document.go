package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"sigs.k8s.io/yaml"
)

// Document is one object as written by an operator: its kind, its name, and the
// fields of its specification in canonical JSON.
type Document struct {
	// File is where the object was read from, or "".
	File string          `json:"-"`
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
	// decoded is the object itself when it is already known.
	decoded any
}

// Key names the object uniquely, such as "Customer/pilots".
func (d Document) Key() string { return RecordKey(d.Kind, d.Name) }

// RecordKey joins a kind and a name.
func RecordKey(kind Kind, name string) string { return string(kind) + "/" + name }

// SplitKey is the inverse of RecordKey.
func SplitKey(key string) (Kind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return Kind(kind), name
}

// rawDocument is the form of an object in a file.
type rawDocument struct {
	Kind *Kind                      `json:"kind"`
	Name *string                    `json:"name"`
	Spec map[string]json.RawMessage `json:"spec"`
}

// ReadFiles reads objects from YAML files, and from the files that end in .yaml
// or .yml of directories. It reports each mistake of form; the documents that
// could be read are returned beside the mistakes.
func ReadFiles(paths ...string) ([]Document, Mistakes) {
	var documents []Document
	var mistakes Mistakes
	for _, path := range paths {
		files, err := expand(path)
		if err != nil {
			mistakes = append(mistakes, Mistake{File: path, Reason: err.Error()})
			continue
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				mistakes = append(mistakes, Mistake{File: file, Reason: err.Error()})
				continue
			}
			found, wrong := Parse(file, data)
			documents = append(documents, found...)
			mistakes = append(mistakes, wrong...)
		}
	}
	return documents, mistakes
}

// expand returns the YAML files of a directory in name order, or the file itself.
func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	for _, pattern := range []string{"*.yaml", "*.yml"} {
		found, err := filepath.Glob(filepath.Join(path, pattern))
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	if len(files) == 0 {
		return nil, errors.New("directory holds no .yaml file")
	}
	sort.Strings(files)
	return files, nil
}

// Parse reads the YAML documents of one file.
func Parse(file string, data []byte) ([]Document, Mistakes) {
	var documents []Document
	var mistakes Mistakes
	for i, part := range splitYAML(data) {
		converted, err := yaml.YAMLToJSONStrict(part)
		if err != nil {
			mistakes = append(mistakes, Mistake{File: file, Object: position(i), Reason: err.Error()})
			continue
		}
		if bytes.Equal(bytes.TrimSpace(converted), []byte("null")) {
			continue
		}
		document, err := parseOne(converted)
		if err != nil {
			mistakes = append(mistakes, Mistake{File: file, Object: position(i), Reason: err.Error()})
			continue
		}
		document.File = file
		documents = append(documents, document)
	}
	return documents, mistakes
}

// position names a document that has no readable kind and name.
func position(index int) string { return fmt.Sprintf("document %d", index+1) }

// splitYAML cuts a file at the lines that consist of "---".
func splitYAML(data []byte) [][]byte {
	var parts [][]byte
	var current []byte
	for line := range bytes.Lines(data) {
		if string(bytes.TrimRight(line, " \r\n")) == "---" {
			parts = append(parts, current)
			current = nil
			continue
		}
		current = append(current, line...)
	}
	return append(parts, current)
}

func parseOne(data []byte) (Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var raw rawDocument
	if err := decoder.Decode(&raw); err != nil {
		return Document{}, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Document{}, errors.New("text after the object")
	}
	if raw.Kind == nil || raw.Name == nil {
		return Document{}, errors.New("kind and name are required")
	}
	spec, err := json.Marshal(raw.Spec)
	if err != nil {
		return Document{}, err
	}
	return Document{Kind: *raw.Kind, Name: *raw.Name, Spec: spec}, nil
}

// Canonical returns a specification with sorted fields and no spaces, so that
// equal specifications are equal bytes.
func Canonical(spec []byte) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(spec))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
