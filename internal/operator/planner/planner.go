// Package planner compares a document with the one in force.
package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
)

// Plan lists what a document would change, one line for each change.
func Plan(inForce *jaygw.Document, next jaygw.Document) []string {
	if inForce == nil {
		inForce = &jaygw.Document{Environment: next.Environment}
	}
	var changes []string
	changes = append(changes, compare("failure domain", inForce.Domains, next.Domains, func(d jaygw.DomainSpec) string { return d.Name })...)
	changes = append(changes, compare("team", inForce.Teams, next.Teams, func(t jaygw.TeamSpec) string { return t.Name })...)
	changes = append(changes, compare("service", inForce.Services, next.Services, func(s jaygw.ServiceSpec) string { return s.Name })...)
	changes = append(changes, compare("job", inForce.Jobs, next.Jobs, func(j jaygw.JobSpec) string { return j.Name })...)
	return append(changes, difference("limits", fields(inForce.Limits), fields(next.Limits))...)
}

func compare[T any](kind string, before, after []T, name func(T) string) []string {
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	var changes []string
	for _, item := range after {
		place := fmt.Sprintf("%s %s", kind, name(item))
		was, known := old[name(item)]
		delete(old, name(item))
		if !known {
			changes = append(changes, "add "+place)
			continue
		}
		changes = append(changes, difference(place, fields(was), fields(item))...)
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
		panic(err) // documents hold nothing that JSON cannot
	}
	values := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &values); err != nil {
		panic(err)
	}
	return values
}

func difference(place string, before, after map[string]json.RawMessage) []string {
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var changes []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if was, is := text(before, key), text(after, key); was != is {
			changes = append(changes, fmt.Sprintf("change %s: %s from %s to %s", place, key, was, is))
		}
	}
	return changes
}

func text(values map[string]json.RawMessage, key string) string {
	if value, ok := values[key]; ok {
		return string(value)
	}
	return "unset"
}
