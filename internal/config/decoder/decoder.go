// Package decoder decodes JSON strictly: it reports every unknown key, repeated key and value of a
// wrong type at once, each with its path.
package decoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
)

// walker compares the values of one file with the Go types they are decoded into, and collects the
// findings.
type walker struct {
	file     string
	findings jaygw.Findings
}

// textUnmarshaler is the interface of types that decode themselves from a JSON string.
var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// Decode decodes data into the struct that target points to. Findings name the file. Repeated keys
// come first, in the order of the data; then unknown keys and wrong types, with the keys of each
// object in alphabetical order. If there are findings, target must not be used.
func Decode(file string, data []byte, target any) jaygw.Findings {
	w := &walker{file: file}
	value, err := parse(data)
	if err != nil {
		w.addFinding("", "not valid JSON: %v", err)
		return w.findings
	}
	w.findRepeatedKeys("", json.NewDecoder(bytes.NewReader(data)))
	w.walk("", value, reflect.TypeOf(target).Elem())
	if len(w.findings) > 0 {
		return w.findings
	}
	if err := json.Unmarshal(data, target); err != nil {
		w.addFinding("", "%v", err)
	}
	return w.findings
}

// parse returns data as maps, lists, strings, booleans and json.Number. Text after the JSON value is
// an error.
func parse(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("there is text after the document")
	}
	return value, nil
}

// findRepeatedKeys reads one value of valid JSON and reports keys that occur twice in an object.
// JSON readers differ in which of the two values they take, so a reviewer could see another value
// than the one that is applied.
func (w *walker) findRepeatedKeys(path string, d *json.Decoder) {
	token, err := d.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			w.findRepeatedKeys(fmt.Sprintf("%s[%d]", path, i), d)
		}
		_, _ = d.Token()
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			key, _ := d.Token()
			name, _ := key.(string)
			if seen[name] {
				w.addFinding(join(path, name), "the key is repeated")
			}
			seen[name] = true
			w.findRepeatedKeys(join(path, name), d)
		}
		_, _ = d.Token()
	}
}

// addFinding records a fault of the value at a path.
func (w *walker) addFinding(path, format string, args ...any) {
	w.findings = append(w.findings, jaygw.Finding{File: w.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

// walk checks that a value and its parts can be decoded into a type.
func (w *walker) walk(path string, value any, t reflect.Type) {
	if value == nil {
		w.addFinding(path, "must not be null")
		return
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		w.walkText(path, value, t)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		w.walk(path, value, t.Elem())
	case reflect.Struct:
		w.walkObject(path, value, t)
	case reflect.Slice:
		w.walkList(path, value, t)
	case reflect.Map:
		w.walkMap(path, value, t)
	case reflect.String:
		if _, ok := value.(string); !ok {
			w.addFinding(path, "must be a string, not %s", kindOf(value))
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			w.addFinding(path, "must be true or false, not %s", kindOf(value))
		}
	default:
		w.walkNumber(path, value, t)
	}
}

func (w *walker) walkText(path string, value any, t reflect.Type) {
	text, ok := value.(string)
	if !ok {
		w.addFinding(path, "must be a string, not %s", kindOf(value))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		w.addFinding(path, "%v", err)
	}
}

func (w *walker) walkObject(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.addFinding(path, "must be an object, not %s", kindOf(value))
		return
	}
	fields := fieldsOf(t)
	for _, key := range sortedKeys(object) {
		field, known := fields[key]
		if !known {
			w.addFinding(join(path, key), "unknown key%s", suggestion(key, fields))
			continue
		}
		w.walk(join(path, key), object[key], field)
	}
}

func (w *walker) walkList(path string, value any, t reflect.Type) {
	list, ok := value.([]any)
	if !ok {
		w.addFinding(path, "must be a list, not %s", kindOf(value))
		return
	}
	for i, element := range list {
		w.walk(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())
	}
}

func (w *walker) walkMap(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.addFinding(path, "must be an object, not %s", kindOf(value))
		return
	}
	for _, key := range sortedKeys(object) {
		w.walk(join(path, key), object[key], t.Elem())
	}
}

func (w *walker) walkNumber(path string, value any, t reflect.Type) {
	number, ok := value.(json.Number)
	if !ok {
		w.addFinding(path, "must be a number, not %s", kindOf(value))
		return
	}
	target := reflect.New(t)
	if err := json.Unmarshal([]byte(number), target.Interface()); err != nil {
		w.addFinding(path, "%s is not a whole number from %s", number, rangeOf(t))
	}
}

// rangeOf returns the range of an integer type.
func rangeOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint16, reflect.Uint8:
		return fmt.Sprintf("0 to %d", uint64(math.MaxUint64)>>(64-t.Bits()))
	default:
		return fmt.Sprintf("%d to %d", int64(math.MinInt64)>>(64-t.Bits()), int64(math.MaxInt64)>>(64-t.Bits()))
	}
}

// fieldsOf returns the types of a struct's fields by JSON key.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if key != "" && key != "-" {
			fields[key] = t.Field(i).Type
		}
	}
	return fields
}

// suggestion returns text for the end of a finding about an unknown key. It proposes the closest
// known key, and is empty if none is within an edit distance of two.
func suggestion(key string, fields map[string]reflect.Type) string {
	best, distance := "", 3
	for _, known := range sortedKeys(fields) {
		if d := editDistance(key, known); d < distance {
			best, distance = known, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two keys, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := previous
			if a[i] != b[j] {
				cost++
			}
			previous = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// kindOf describes the type of a JSON value in a finding.
func kindOf(value any) string {
	switch value.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Lenient decodes data into the struct that target points to and leaves out values of a wrong type.
// If data is not valid JSON, target stays unchanged.
func Lenient(data []byte, target any) {
	value, err := parse(data)
	if err != nil {
		return
	}
	decodeLenient(value, reflect.ValueOf(target).Elem())
}

// decodeLenient decodes the parts of a value one by one, and skips those that fail.
func decodeLenient(value any, target reflect.Value) {
	object, isObject := value.(map[string]any)
	if target.Kind() == reflect.Pointer && isObject {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if target.Kind() == reflect.Struct && isObject {
		for i := range target.NumField() {
			key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
			if part, ok := object[key]; ok {
				decodeLenient(part, target.Field(i))
			}
		}
		return
	}
	if list, ok := value.([]any); ok && target.Kind() == reflect.Slice {
		target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
		for i, element := range list {
			decodeLenient(element, target.Index(i))
		}
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	part := reflect.New(target.Type())
	if json.Unmarshal(data, part.Interface()) == nil {
		target.Set(part.Elem())
	}
}
