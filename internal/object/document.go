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

// Document is an object as an operator writes it: its kind, its name, and the
// fields of its specification in JSON, which need not be canonical (see Canonical).
type Document struct {
	// File is the path of the file that holds the object, or "" if it comes from no file.
	File string          `json:"-"`
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
	// decoded is the object that the specification decodes to, if it is already
	// known from an earlier set; otherwise nil.
	decoded any
}

// Key returns the record key that identifies the object, such as "Customer/pilots".
func (d Document) Key() string { return RecordKey(d.Kind, d.Name) }

// RecordKey returns the record key of a kind and a name, such as "Customer/pilots".
func RecordKey(kind Kind, name string) string { return string(kind) + "/" + name }

// SplitKey returns the kind and the name of a record key. It is the inverse of RecordKey.
func SplitKey(key string) (Kind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return Kind(kind), name
}

// rawDocument is an object as encoded in a file. The pointers tell a missing field
// from an empty one.
type rawDocument struct {
	Kind *Kind                      `json:"kind"`
	Name *string                    `json:"name"`
	Spec map[string]json.RawMessage `json:"spec"`
}

// ReadFiles reads the YAML documents of the files at the paths. For a directory it
// reads the files in it whose names end in .yaml or .yml. It returns the documents
// that could be read, together with a mistake for each file or document that could
// not be read or parsed.
func ReadFiles(paths ...string) ([]Document, Mistakes) {
	var documents []Document
	var mistakes Mistakes
	for _, path := range paths {
		files, err := listYAMLFiles(path)
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
			parsed, parseMistakes := Parse(file, data)
			documents = append(documents, parsed...)
			mistakes = append(mistakes, parseMistakes...)
		}
	}
	return documents, mistakes
}

// listYAMLFiles returns the YAML files of the directory at path in name order. If
// path is not a directory, it returns path alone.
func listYAMLFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	for _, pattern := range []string{"*.yaml", "*.yml"} {
		matches, err := filepath.Glob(filepath.Join(path, pattern))
		if err != nil {
			return nil, err
		}
		files = append(files, matches...)
	}
	if len(files) == 0 {
		return nil, errors.New("directory holds no .yaml file")
	}
	sort.Strings(files)
	return files, nil
}

// Parse parses the YAML documents in data, the content of the named file. Empty
// documents are skipped. It returns the documents that could be parsed, together
// with a mistake for each one that could not.
func Parse(file string, data []byte) ([]Document, Mistakes) {
	var documents []Document
	var mistakes Mistakes
	for i, part := range splitYAML(data) {
		converted, err := yaml.YAMLToJSONStrict(part)
		if err != nil {
			mistakes = append(mistakes, Mistake{File: file, Object: positionLabel(i), Reason: err.Error()})
			continue
		}
		if bytes.Equal(bytes.TrimSpace(converted), []byte("null")) {
			continue
		}
		document, err := parseDocument(converted)
		if err != nil {
			mistakes = append(mistakes, Mistake{File: file, Object: positionLabel(i), Reason: err.Error()})
			continue
		}
		document.File = file
		documents = append(documents, document)
	}
	return documents, mistakes
}

// positionLabel returns a label for a document whose kind and name cannot be read,
// such as "document 1" for index 0.
func positionLabel(index int) string { return fmt.Sprintf("document %d", index+1) }

// splitYAML splits data into YAML documents at the lines that consist of "---",
// apart from trailing spaces.
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

// parseDocument decodes a document from JSON. It returns an error for unknown
// top-level fields, trailing data, and a missing kind or name.
func parseDocument(data []byte) (Document, error) {
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

// Canonical returns the JSON of a specification with sorted fields and without
// spaces, so that equal specifications have equal bytes.
func Canonical(spec []byte) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(spec))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
