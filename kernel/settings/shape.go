package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"
)

// shape is what a type expects below it. The zero value expects nothing and allows all.
type shape struct {
	fields  map[string]reflect.Type // By key; nil when any key will do.
	element reflect.Type            // Of arrays and maps; nil when any value will do.
}

// field returns the type of the value below key, nil when any will do, and whether the key may be
// there.
func (s shape) field(key string) (reflect.Type, bool) {
	if s.fields == nil {
		return s.element, true
	}
	t, known := s.fields[key]
	return t, known
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

var shapes sync.Map // Of shape by reflect.Type: front ends decode the same types over and over.

// shapeOf returns the shape of values that are decoded into t.
func shapeOf(t reflect.Type) shape {
	if t == nil {
		return shape{}
	}
	if known, ok := shapes.Load(t); ok {
		return known.(shape)
	}
	s := newShape(t)
	shapes.Store(t, s)
	return s
}

// newShape works out a shape. Types that decode themselves take anything here.
func newShape(t reflect.Type) shape {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return shape{}
	}
	switch t.Kind() {
	case reflect.Struct:
		s := shape{fields: make(map[string]reflect.Type)}
		s.add(t)
		return s
	case reflect.Slice, reflect.Array, reflect.Map:
		return shape{element: t.Elem()}
	}
	return shape{}
}

// add enters the keys of a struct, those of embedded structs among them.
func (s shape) add(t reflect.Type) {
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct:
			s.add(f.Type)
		case !f.IsExported() || name == "-":
		case name == "":
			s.fields[f.Name] = f.Type
		default:
			s.fields[name] = f.Type
		}
	}
}
