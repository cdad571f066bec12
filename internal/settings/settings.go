// Package settings reads INI files into structures with typed fields. An error
// names the file, section and key, and the reason. A file is read once, when a
// program starts.
//
// Fields are tagged `ini:"key"`; the option ",required" means that the
// key must be present. Any other option has no effect. If a key is absent, its field keeps the value
// that it had before Load. The supported types are string, bool, int, int64,
// float64, time.Duration and []string (separated by commas).
package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section binds the name of a section to Target, a pointer to the structure that
// receives its values.
type Section struct {
	Name   string
	Target any
}

// Error is an invalid entry in a settings file. Section and Key are empty if the
// error does not belong to one section or key; Error prints them even then.
type Error struct {
	File, Section, Key, Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: section [%s], key %q: %s", e.File, e.Section, e.Key, e.Reason)
}

// Validator is implemented by targets that check their own values, for example
// against each other. Load calls Validate after it has set the target's fields.
type Validator interface {
	// Validate returns an error if a value is invalid, and the key of the
	// setting that the error is about. The key has no meaning without an error.
	Validate() (key string, err error)
}

// Load reads file into the targets of sections. It returns the first error found,
// as *Error. Sections and keys of the file that the targets do not have are
// errors. A section that is absent from the file counts as empty.
func Load(file string, sections ...Section) error {
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return &Error{File: file, Reason: err.Error()}
	}
	if err := rejectUnknownSections(file, parsed, sections); err != nil {
		return err
	}
	for _, section := range sections {
		if err := loadSection(file, parsed.Section(section.Name), section.Target); err != nil {
			return err
		}
	}
	return nil
}

// rejectUnknownSections returns an error if the file has a section that is not in
// sections, or keys before the first section header.
func rejectUnknownSections(file string, parsed *ini.File, sections []Section) error {
	known := make(map[string]bool, len(sections))
	for _, section := range sections {
		known[section.Name] = true
	}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known[section.Name()] {
			return &Error{File: file, Section: section.Name(), Reason: "unknown section"}
		}
	}
	return nil
}

// loadSection sets the fields of the structure that target points to, and
// validates target if it is a Validator.
func loadSection(file string, section *ini.Section, target any) error {
	value := reflect.ValueOf(target).Elem()
	fields := make(map[string]reflect.Value)
	for i := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(i).Tag.Get("ini"), ",")
		if name == "" {
			continue
		}
		fields[name] = value.Field(i)
		if options == "required" && !section.HasKey(name) {
			return &Error{file, section.Name(), name, "missing value"}
		}
	}
	for _, key := range section.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			return &Error{file, section.Name(), key.Name(), "unknown key"}
		}
		if err := setField(field, strings.TrimSpace(key.Value())); err != nil {
			return &Error{file, section.Name(), key.Name(), err.Error()}
		}
	}
	validator, ok := target.(Validator)
	if !ok {
		return nil
	}
	if key, err := validator.Validate(); err != nil {
		return &Error{file, section.Name(), key, err.Error()}
	}
	return nil
}

// setField parses text as the type of field and assigns the result to field.
func setField(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 500ms or 2s", text)
		}
		if parsed < 0 {
			return fmt.Errorf("%q is negative", text)
		}
		field.SetInt(int64(parsed))
	case string:
		field.SetString(text)
	case bool:
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is not true or false", text)
		}
		field.SetBool(parsed)
	case int, int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		field.SetInt(parsed)
	case float64:
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		field.SetFloat(parsed)
	case []string:
		field.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("unsupported type %s", field.Type())
	}
	return nil
}

// splitList splits text at commas. It trims the items and omits empty ones.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
