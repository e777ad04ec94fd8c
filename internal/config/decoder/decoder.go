// Package decoder reads JSON strictly: it finds every unknown key and every value
// of a wrong type in one pass, with the place of each.
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

// walker collects the findings in one file.
type walker struct {
	file     string
	findings jaygw.Findings
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// Decode reads data into the struct that target points to. The findings are in
// the order of the document; target is usable only if there are none.
func Decode(file string, data []byte, target any) jaygw.Findings {
	w := &walker{file: file}
	value, err := parse(data)
	if err != nil {
		w.find("", "not valid JSON: %v", err)
		return w.findings
	}
	w.repeated("", json.NewDecoder(bytes.NewReader(data)))
	w.walk("", value, reflect.TypeOf(target).Elem())
	if len(w.findings) > 0 {
		return w.findings
	}
	if err := json.Unmarshal(data, target); err != nil {
		w.find("", "%v", err)
	}
	return w.findings
}

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

// repeated reads one value of valid JSON and finds the keys that an object holds
// twice: readers differ in which of the two values they show.
func (w *walker) repeated(path string, d *json.Decoder) {
	token, err := d.Token()
	if err != nil {
		return
	}
	switch token {
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			w.repeated(fmt.Sprintf("%s[%d]", path, i), d)
		}
		_, _ = d.Token()
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			key, _ := d.Token()
			name, _ := key.(string)
			if seen[name] {
				w.find(join(path, name), "the key is repeated")
			}
			seen[name] = true
			w.repeated(join(path, name), d)
		}
		_, _ = d.Token()
	}
}

func (w *walker) find(path, format string, args ...any) {
	w.findings = append(w.findings, jaygw.Finding{File: w.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (w *walker) walk(path string, value any, t reflect.Type) {
	if value == nil {
		w.find(path, "must not be null")
		return
	}
	if reflect.PointerTo(t).Implements(textType) {
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
			w.find(path, "must be a string, not %s", kindOf(value))
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			w.find(path, "must be true or false, not %s", kindOf(value))
		}
	default:
		w.walkNumber(path, value, t)
	}
}

func (w *walker) walkText(path string, value any, t reflect.Type) {
	text, ok := value.(string)
	if !ok {
		w.find(path, "must be a string, not %s", kindOf(value))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		w.find(path, "%v", err)
	}
}

func (w *walker) walkObject(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.find(path, "must be an object, not %s", kindOf(value))
		return
	}
	fields := fieldsOf(t)
	for _, key := range sortedKeys(object) {
		field, known := fields[key]
		if !known {
			w.find(join(path, key), "unknown key%s", suggestion(key, fields))
			continue
		}
		w.walk(join(path, key), object[key], field)
	}
}

func (w *walker) walkList(path string, value any, t reflect.Type) {
	list, ok := value.([]any)
	if !ok {
		w.find(path, "must be a list, not %s", kindOf(value))
		return
	}
	for i, element := range list {
		w.walk(fmt.Sprintf("%s[%d]", path, i), element, t.Elem())
	}
}

func (w *walker) walkMap(path string, value any, t reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		w.find(path, "must be an object, not %s", kindOf(value))
		return
	}
	for _, key := range sortedKeys(object) {
		w.walk(join(path, key), object[key], t.Elem())
	}
}

func (w *walker) walkNumber(path string, value any, t reflect.Type) {
	number, ok := value.(json.Number)
	if !ok {
		w.find(path, "must be a number, not %s", kindOf(value))
		return
	}
	target := reflect.New(t)
	if err := json.Unmarshal([]byte(number), target.Interface()); err != nil {
		w.find(path, "%s is not a whole number from %s", number, rangeOf(t))
	}
}

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

// suggestion names the known key that is closest to an unknown one.
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

// Lenient reads what it can of data into the struct that target points to and
// leaves out values that do not fit.
func Lenient(data []byte, target any) {
	value, err := parse(data)
	if err != nil {
		return
	}
	fill(value, reflect.ValueOf(target).Elem())
}

func fill(value any, target reflect.Value) {
	object, isObject := value.(map[string]any)
	if target.Kind() == reflect.Pointer && isObject {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if target.Kind() == reflect.Struct && isObject {
		for i := range target.NumField() {
			key, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
			if part, ok := object[key]; ok {
				fill(part, target.Field(i))
			}
		}
		return
	}
	if list, ok := value.([]any); ok && target.Kind() == reflect.Slice {
		target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
		for i, element := range list {
			fill(element, target.Index(i))
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
