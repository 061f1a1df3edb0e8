// Package outernames describes how Go types look outside the process: the names,
// kinds and order of their fields as an encoder writes them. Tests compare the
// description to a file, so that a rename in the code can't change a format.
package outernames

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"
)

// Format is a way in which structs leave the process.
type Format uint8

// The formats.
const (
	// Named is CBOR with field names; a codec tag gives another name.
	Named Format = iota
	// Array is CBOR with a struct as an array: only the order of fields counts.
	// The Go name stands beside the place, so that the exchange of two fields of
	// one kind shows. A rename changes that one line of the record.
	Array
	// JSON is JSON with field names; a json tag gives another name.
	JSON
	// Printed is the text of fmt's %+v: the Go names of fields.
	Printed
)

// maxDepth ends the description of types that contain themselves.
const maxDepth = 16

// Describe returns a line for each field that is reachable from t: its path below
// root with outer names, and its kind, in order.
func Describe(root string, t reflect.Type, f Format) []string {
	return describe(nil, root, t, f, maxDepth)
}

func describe(out []string, path string, t reflect.Type, f Format, depth int) []string {
	if depth == 0 {
		return append(out, path+" ...")
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describe(out, path+"*", t.Elem(), f, depth-1)
	case reflect.Slice, reflect.Array:
		if t.Elem().Kind() == reflect.Uint8 {
			return append(out, path+" bytes")
		}
		return describe(out, path+"[]", t.Elem(), f, depth-1)
	case reflect.Map:
		return describe(out, path+"["+t.Key().Kind().String()+"]", t.Elem(), f, depth-1)
	case reflect.Struct:
		out = append(out, path+" struct")
		place := 0
		for i := range t.NumField() {
			name, ok := outerName(t.Field(i), f)
			if !ok {
				continue
			}
			if f == Array {
				name = fmt.Sprintf("%d %s", place, t.Field(i).Name)
			}
			out = describe(out, fmt.Sprintf("%s.%s", path, name), t.Field(i).Type, f, depth-1)
			place++
		}
		return out
	}
	return append(out, path+" "+t.Kind().String())
}

// outerName returns the name of a field outside, and whether it is written.
func outerName(field reflect.StructField, f Format) (string, bool) {
	keys := map[Format][]string{Named: {"codec", "json"}, Array: {"codec", "json"}, JSON: {"json"}}[f]
	for _, key := range keys {
		tag, ok := field.Tag.Lookup(key)
		if !ok {
			continue
		}
		name, options, _ := strings.Cut(tag, ",")
		if tag == "-" {
			return "", false
		}
		if name == "" {
			name = field.Name
		}
		if options != "" {
			name += "," + options
		}
		return name, field.IsExported()
	}
	return field.Name, field.IsExported() || f == Printed
}

// Fill sets every exported field that is reachable from v, which is a pointer, to
// a value of its own. The values depend on kinds and order only.
func Fill(v any) {
	n := int64(0)
	fill(reflect.ValueOf(v).Elem(), &n, maxDepth)
}

func fill(v reflect.Value, n *int64, depth int) {
	if depth == 0 {
		return
	}
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth-1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth-1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth-1)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth-1)
		fill(elem, n, depth-1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n, depth-1)
			}
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("v%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(*n % 100)
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(*n)
		}
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) / 2)
	}
}

// Difference compares lines to those of a file and returns the first ones that
// differ, or "". With OUTER_NAMES=write in the environment it writes the file.
func Difference(file string, lines []string) (string, error) {
	text := strings.Join(lines, "\n") + "\n"
	if os.Getenv("OUTER_NAMES") == "write" {
		return "", os.WriteFile(file, []byte(text), 0o600)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	if string(want) == text {
		return "", nil
	}
	recorded := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	for i := range max(len(recorded), len(lines)) {
		have, had := "(nothing)", "(nothing)"
		if i < len(lines) {
			have = lines[i]
		}
		if i < len(recorded) {
			had = recorded[i]
		}
		if have != had {
			return fmt.Sprintf("%s, line %d: recorded %q, the code has %q", file, i+1, had, have), nil
		}
	}
	return file + " differs in its ending", nil
}
