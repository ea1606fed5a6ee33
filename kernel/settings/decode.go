package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
)

// DecodeStrict decodes one JSON value into target and refuses unknown keys, duplicate keys and
// trailing data. The error joins all such faults and all values of a wrong type; each begins with
// the JSON path below prefix. Keys are told apart by case.
func DecodeStrict(raw []byte, prefix string, target any) error {
	if err := check(raw, prefix, reflect.TypeOf(target)); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return describe(err, prefix)
	}
	return nil
}

// describe names the path of a fault that only the decoder of the standard library finds.
func describe(err error, prefix string) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return errors.Newf("%s: must be %s, not %s", join(prefix, wrongType.Field), wrongType.Type, wrongType.Value)
	}
	return errors.Wrapf(err, "%s", orRoot(prefix))
}

// check walks the tokens of raw along type t and returns all faults.
func check(raw []byte, prefix string, t reflect.Type) error {
	w := walker{decoder: json.NewDecoder(bytes.NewReader(raw))}
	w.decoder.UseNumber()
	if err := w.value(prefix, t); err != nil {
		return errors.Join(append(w.faults.all, err)...)
	}
	if _, err := w.decoder.Token(); err != io.EOF {
		w.faults.Require(false, orRoot(prefix), "there is data behind the value")
	}
	return w.faults.Joined()
}

// walker collects the faults of one value. Its methods return an error only when the JSON itself
// is broken, so that the walk cannot go on.
type walker struct {
	decoder *json.Decoder
	faults  Faults
}

// value walks one value. A nil type accepts anything but duplicate keys.
func (w *walker) value(path string, t reflect.Type) error {
	token, err := w.decoder.Token()
	if err != nil {
		return errors.Wrapf(err, "%s", orRoot(path))
	}
	t = concrete(t)
	if wanted, ok := accepts(t, token); !ok {
		w.faults.Require(false, orRoot(path), "must be "+wanted+", not "+nameOf(token))
		t = nil
	}
	switch token {
	case json.Delim('{'):
		return w.object(path, t)
	case json.Delim('['):
		return w.array(path, t)
	}
	return nil
}

func (w *walker) object(path string, t reflect.Type) error {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return errors.Wrapf(err, "%s", orRoot(path))
		}
		key, ok := token.(string)
		if !ok {
			return errors.Newf("%s: has a key that is no string", orRoot(path))
		}
		below := join(path, key)
		w.faults.Require(!seen[key], below, "is there twice")
		seen[key] = true
		field, known := member(t, key)
		w.faults.Require(known, below, "no such key")
		if err := w.value(below, field); err != nil {
			return err
		}
	}
	return w.closing(path)
}

func (w *walker) array(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(pathIndex(path, i), element); err != nil {
			return err
		}
	}
	return w.closing(path)
}

func (w *walker) closing(path string) error {
	_, err := w.decoder.Token()
	return errors.Wrapf(err, "%s", orRoot(path))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}

func orRoot(path string) string {
	if path == "" {
		return "(root)"
	}
	return path
}

func pathIndex(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
