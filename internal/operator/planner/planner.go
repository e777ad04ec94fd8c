// Package planner compares a document with the one in force, for review before it is promoted.
package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
)

// Plan lists what a document would change, one line for each change. inForce is nil if no document
// is in force.
func Plan(inForce *jaygw.Document, next jaygw.Document) []string {
	if inForce == nil {
		inForce = &jaygw.Document{Environment: next.Environment}
	}
	var changes []string
	changes = append(changes, compareLists("failure domain", inForce.Domains, next.Domains, func(d jaygw.DomainSpec) string { return d.Name })...)
	changes = append(changes, compareLists("team", inForce.Teams, next.Teams, func(t jaygw.TeamSpec) string { return t.Name })...)
	changes = append(changes, compareLists("service", inForce.Services, next.Services, func(s jaygw.ServiceSpec) string { return s.Name })...)
	changes = append(changes, compareLists("job", inForce.Jobs, next.Jobs, func(j jaygw.JobSpec) string { return j.Name })...)
	return append(changes, compareFields("limits", fields(inForce.Limits), fields(next.Limits))...)
}

// compareLists compares objects of one kind by name, and lists those that are added, changed and
// removed.
func compareLists[T any](kind string, before, after []T, name func(T) string) []string {
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	var changes []string
	for _, item := range after {
		object := fmt.Sprintf("%s %s", kind, name(item))
		previous, exists := old[name(item)]
		delete(old, name(item))
		if !exists {
			changes = append(changes, "add "+object)
			continue
		}
		changes = append(changes, compareFields(object, fields(previous), fields(item))...)
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		changes = append(changes, fmt.Sprintf("remove %s %s", kind, name))
	}
	return changes
}

// fields returns an object's JSON values by key.
func fields(object any) map[string]json.RawMessage {
	data, err := json.Marshal(object)
	if err != nil {
		panic(err) // every part of a document can be encoded as JSON
	}
	values := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &values); err != nil {
		panic(err)
	}
	return values
}

// compareFields lists the fields of an object that differ, in the order of their keys.
func compareFields(object string, before, after map[string]json.RawMessage) []string {
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if oldValue, newValue := valueText(before, key), valueText(after, key); oldValue != newValue {
			changes = append(changes, fmt.Sprintf("change %s: %s from %s to %s", object, key, oldValue, newValue))
		}
	}
	return changes
}

// valueText returns the JSON text of a field, or "unset" if the object has no such field.
func valueText(values map[string]json.RawMessage, key string) string {
	if value, ok := values[key]; ok {
		return string(value)
	}
	return "unset"
}
