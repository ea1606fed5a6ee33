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

// checkedType returns the type that the tokens of a value of type t are compared with: t without
// pointers, or nil for a type that decodes itself or accepts any value.
func checkedType(t reflect.Type) reflect.Type {
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

// accepts reports whether a value that begins with token can be of type t, and describes the values
// that t accepts.
func accepts(t reflect.Type, token json.Token) (want string, ok bool) {
	if t == nil || token == nil {
		return "", true
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object", token == json.Delim('{')
	case reflect.Slice, reflect.Array:
		_, text := token.(string)
		bytes := t.Elem().Kind() == reflect.Uint8 // Bytes are encoded as a string.
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

func acceptsInteger(t reflect.Type, token json.Token) (want string, ok bool) {
	number, isNumber := token.(json.Number)
	if t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64 {
		_, err := strconv.ParseInt(number.String(), 10, t.Bits())
		return "an integer", isNumber && err == nil
	}
	_, err := strconv.ParseUint(number.String(), 10, t.Bits())
	return "an integer that is not negative", isNumber && err == nil
}

// describeToken describes the value that begins with token for an error message: numbers by their
// text, other values by their kind.
func describeToken(token json.Token) string {
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

// typeOfKey returns the type of key's value in an object of type t; known is false when t has no such
// key. A nil t has every key.
func typeOfKey(t reflect.Type, key string) (field reflect.Type, known bool) {
	switch {
	case t == nil:
		return nil, true
	case t.Kind() == reflect.Map:
		return t.Elem(), true
	}
	field, known = fieldTypes(t)[key]
	return field, known
}

// fieldTypesCache maps a struct's reflect.Type to the map that fieldTypes returns for it.
var fieldTypesCache sync.Map

// fieldTypes returns the types of a struct's fields by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	if cached, ok := fieldTypesCache.Load(t); ok {
		return cached.(map[string]reflect.Type)
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
	fieldTypesCache.Store(t, fields)
	return fields
}
