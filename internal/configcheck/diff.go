package configcheck

import (
	"encoding/hex"
	"fmt"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// keyLabelBytes is the length of the part of a key's hash that is shown.
const keyLabelBytes = 6

// KeyLabel returns the start of a key's hash, which identifies the key without revealing it.
func KeyLabel(key catalog.KeyHash) string { return "sha256:" + hex.EncodeToString(key[:keyLabelBytes]) }

// Entry is one entry of a configuration as it is written.
type Entry struct {
	Kind string
	Name string
	// Named is true if entries of the kind are told apart by their names.
	Named bool
	// Fields holds the values by field, in JSON. It holds no key in clear text: each key is a
	// field of its own that ends in its KeyLabel.
	Fields map[string]string
}

// Key returns the kind and the name of the entry.
func (e Entry) Key() string {
	if !e.Named {
		return e.Kind
	}
	return e.Kind + "/" + e.Name
}

// Change is a difference between two configurations: an entry that was added or removed,
// or one of its fields. Old and New are empty where there is no value.
type Change struct {
	Entry string `json:"entry"`
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	// Added and Removed tell whether the whole entry or field was.
	Added   bool `json:"added,omitempty"`
	Removed bool `json:"removed,omitempty"`
}

// String formats the change on one line, marked "+" if something was added, "-" if it was
// removed and "~" if it was changed.
func (c Change) String() string {
	name := c.Entry
	if c.Field != "" {
		name += ": " + c.Field
	}
	switch {
	case c.Added:
		return "+ " + name + valueSuffix(c.New)
	case c.Removed:
		return "- " + name + valueSuffix(c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", name, c.Old, c.New)
	}
}

func valueSuffix(value string) string {
	if value == "" {
		return ""
	}
	return ": " + value
}

// Diff returns the changes from the old entries to the new ones: changes and additions in
// the order of the new entries, then removals. Entries with the same key are numbered.
func Diff(before, after []Entry) []Change {
	oldKeys, oldFields := indexEntries(before)
	newKeys, newFields := indexEntries(after)
	var changes []Change
	for _, key := range newKeys {
		old, ok := oldFields[key]
		if !ok {
			changes = append(changes, Change{Entry: key, Added: true})
			continue
		}
		changes = append(changes, diffFields(key, old, newFields[key])...)
	}
	for _, key := range oldKeys {
		if _, ok := newFields[key]; !ok {
			changes = append(changes, Change{Entry: key, Removed: true})
		}
	}
	return changes
}

// indexEntries returns the keys of the entries in order, and their fields by key.
func indexEntries(entries []Entry) ([]string, map[string]map[string]string) {
	keys := make([]string, 0, len(entries))
	fields := make(map[string]map[string]string, len(entries))
	for _, entry := range entries {
		key := entry.Key()
		for n := 2; fields[key] != nil; n++ {
			key = fmt.Sprintf("%s (%d)", entry.Key(), n)
		}
		keys = append(keys, key)
		fields[key] = entry.Fields
	}
	return keys, fields
}

func diffFields(entry string, before, after map[string]string) []Change {
	var changes []Change
	for _, field := range sortedNames(after) {
		old, ok := before[field]
		if !ok || old != after[field] {
			changes = append(changes, Change{Entry: entry, Field: field, Old: old, New: after[field], Added: !ok})
		}
	}
	for _, field := range sortedNames(before) {
		if _, ok := after[field]; !ok {
			changes = append(changes, Change{Entry: entry, Field: field, Old: before[field], Removed: true})
		}
	}
	return changes
}
