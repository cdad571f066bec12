package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// spec returns a pointer to an empty specification of the kind, or nil.
func spec(kind Kind) any {
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

// decode fills the specification of a document and reports every field that is
// unknown or of the wrong type. It returns nil for an unknown kind.
func decode(document Document) (any, Mistakes) {
	if document.decoded != nil {
		return document.decoded, nil
	}
	target := spec(document.Kind)
	if target == nil {
		return nil, Mistakes{document.mistake("kind", fmt.Sprintf("unknown kind %q", document.Kind))}
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(document.Spec, &raw); err != nil {
		return nil, Mistakes{document.mistake("spec", err.Error())}
	}
	fields := fieldsByTag(target)
	var mistakes Mistakes
	for _, name := range sortedKeys(raw) {
		field, ok := fields[name]
		if !ok {
			mistakes = append(mistakes, document.mistake(name, "unknown field"))
			continue
		}
		if err := json.Unmarshal(raw[name], field.Addr().Interface()); err != nil {
			mistakes = append(mistakes, document.mistake(name, reason(err)))
		}
	}
	reflect.ValueOf(target).Elem().FieldByName("Name").SetString(document.Name)
	return target, mistakes
}

// fieldsByTag maps the JSON names of a structure's fields to the fields.
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

// reason words a decoding error without the decoder's own prefix.
func reason(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Sprintf("a %s was given where a %s is needed", wrongType.Value, wrongType.Type)
	}
	return err.Error()
}

func (d Document) mistake(field, reason string) Mistake {
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
