package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// newObject returns a pointer to a new object of the kind that holds the defaults
// of its fields, or nil for an unknown kind.
func newObject(kind Kind) any {
	switch kind {
	case KindCustomer:
		return &Customer{Weight: 1}
	case KindKey:
		return &Key{State: KeyActive}
	case KindRoute:
		return new(Route)
	case KindUpstream:
		return new(Upstream)
	case KindModelVersion:
		return new(ModelVersion)
	case KindFleet:
		return new(Fleet)
	default:
		return nil
	}
}

// decode returns the object of a document, and a mistake for every field that is
// unknown or has the wrong type. The object is nil if the kind is unknown or the
// specification is not a JSON object. If document.decoded is set, it is returned
// unchanged.
func decode(document Document) (any, Mistakes) {
	if document.decoded != nil {
		return document.decoded, nil
	}
	target := newObject(document.Kind)
	if target == nil {
		return nil, Mistakes{document.newMistake("kind", fmt.Sprintf("unknown kind %q", document.Kind))}
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(document.Spec, &raw); err != nil {
		return nil, Mistakes{document.newMistake("spec", err.Error())}
	}
	fields := fieldsByTag(target)
	var mistakes Mistakes
	for _, name := range sortedKeys(raw) {
		field, ok := fields[name]
		if !ok {
			mistakes = append(mistakes, document.newMistake(name, "unknown field"))
			continue
		}
		if err := json.Unmarshal(raw[name], field.Addr().Interface()); err != nil {
			mistakes = append(mistakes, document.newMistake(name, mistakeReason(err)))
		}
	}
	reflect.ValueOf(target).Elem().FieldByName("Name").SetString(document.Name)
	return target, mistakes
}

// fieldsByTag returns the fields of the struct that target points to, by their
// JSON names.
func fieldsByTag(target any) map[string]reflect.Value {
	value := reflect.ValueOf(target).Elem()
	fields := make(map[string]reflect.Value, value.NumField())
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = value.Field(i)
	}
	return fields
}

// mistakeReason returns the text of a decoding error. It replaces the JSON
// decoder's message for a value of the wrong type.
func mistakeReason(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("a %s was given where a %s is needed", wrongType.Value, wrongType.Type)
	}
	return err.Error()
}

// newMistake returns a mistake in a field of the document.
func (d Document) newMistake(field, reason string) Mistake {
	return Mistake{File: d.File, Object: d.Key(), Field: field, Reason: reason}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
