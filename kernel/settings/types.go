package settings

import (
	"encoding"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// concrete returns the type that a value is walked along: what pointers point to, and nil for a
// type that decodes itself or takes any value.
func concrete(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		if t.Implements(jsonUnmarshaler) || t.Implements(textUnmarshaler) {
			return nil
		}
		t = t.Elem()
	}
	if t == nil || t.Kind() == reflect.Interface {
		return nil
	}
	if p := reflect.PointerTo(t); p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler) {
		return nil
	}
	return t
}

// accepts reports whether a value that begins with token can be of type t, and names what t wants.
func accepts(t reflect.Type, token json.Token) (wanted string, ok bool) {
	if t == nil || token == nil {
		return "", true
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object", token == json.Delim('{')
	case reflect.Slice, reflect.Array:
		_, text := token.(string)
		bytes := t.Elem().Kind() == reflect.Uint8 // Encoded as text.
		return "an array", token == json.Delim('[') || bytes && text
	case reflect.String:
		_, ok = token.(string)
		return "a string", ok
	case reflect.Bool:
		_, ok = token.(bool)
		return "true or false", ok
	case reflect.Float32, reflect.Float64:
		_, ok = token.(json.Number)
		return "a number", ok
	}
	return acceptsInteger(t, token)
}

func acceptsInteger(t reflect.Type, token json.Token) (wanted string, ok bool) {
	number, isNumber := token.(json.Number)
	if t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64 {
		_, err := strconv.ParseInt(number.String(), 10, t.Bits())
		return "an integer", isNumber && err == nil
	}
	_, err := strconv.ParseUint(number.String(), 10, t.Bits())
	return "an integer that is not negative", isNumber && err == nil
}

// nameOf names the kind of value that begins with token.
func nameOf(token json.Token) string {
	switch t := token.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case json.Number:
		return t.String()
	case json.Delim:
		if t == '[' {
			return "an array"
		}
	}
	return "an object"
}

// member returns the type of key's value in an object of type t.
func member(t reflect.Type, key string) (field reflect.Type, known bool) {
	switch {
	case t == nil:
		return nil, true
	case t.Kind() == reflect.Map:
		return t.Elem(), true
	}
	field, known = fieldsOf(t)[key]
	return field, known
}

var fieldsByType sync.Map // Of reflect.Type to map[string]reflect.Type.

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if known, ok := fieldsByType.Load(t); ok {
		return known.(map[string]reflect.Type)
	}
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || f.Anonymous || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	fieldsByType.Store(t, fields)
	return fields
}
