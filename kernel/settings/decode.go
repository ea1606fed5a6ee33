package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
)

// DecodeStrict decodes one JSON value into target and rejects unknown keys, duplicate keys, values of
// a wrong type and trailing data. The error joins all faults; each begins with prefix and the JSON
// path of the value. Keys are case-sensitive.
func DecodeStrict(raw []byte, prefix string, target any) error {
	if err := checkTokens(raw, prefix, reflect.TypeOf(target)); err != nil {
		return err
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return decodeError(err, prefix)
	}
	return nil
}

// decodeError adds the path of the value to an error that only the standard library's decoder finds.
func decodeError(err error, prefix string) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return errors.Newf("%s: must be %s, not %s", joinPath(prefix, wrongType.Field), wrongType.Type, wrongType.Value)
	}
	return errors.Wrapf(err, "%s", pathOrRoot(prefix))
}

// checkTokens compares the tokens of raw with type t and returns all faults.
func checkTokens(raw []byte, prefix string, t reflect.Type) error {
	w := walker{decoder: json.NewDecoder(bytes.NewReader(raw))}
	w.decoder.UseNumber()
	if err := w.checkValue(prefix, t); err != nil {
		return errors.Join(append(w.faults.all, err)...)
	}
	if _, err := w.decoder.Token(); err != io.EOF {
		w.faults.Require(false, pathOrRoot(prefix), "there is data after the value")
	}
	return w.faults.Err()
}

// walker walks the tokens of one value and collects its faults. Its methods return an error only when
// the JSON itself is malformed, so that the walk cannot continue.
type walker struct {
	decoder *json.Decoder
	faults  Faults
}

// checkValue walks one value. If t is nil, only duplicate keys are faults.
func (w *walker) checkValue(path string, t reflect.Type) error {
	token, err := w.decoder.Token()
	if err != nil {
		return errors.Wrapf(err, "%s", pathOrRoot(path))
	}
	t = checkedType(t)
	if want, ok := accepts(t, token); !ok {
		w.faults.Require(false, pathOrRoot(path), "must be "+want+", not "+describeToken(token))
		t = nil
	}
	switch token {
	case json.Delim('{'):
		return w.checkObject(path, t)
	case json.Delim('['):
		return w.checkArray(path, t)
	}
	return nil
}

func (w *walker) checkObject(path string, t reflect.Type) error {
	seen := make(map[string]bool)
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return errors.Wrapf(err, "%s", pathOrRoot(path))
		}
		key, ok := token.(string)
		if !ok {
			return errors.Newf("%s: has a key that is not a string", pathOrRoot(path))
		}
		keyPath := joinPath(path, key)
		w.faults.Require(!seen[key], keyPath, "is a duplicate")
		seen[key] = true
		field, known := typeOfKey(t, key)
		w.faults.Require(known, keyPath, "no such key")
		if err := w.checkValue(keyPath, field); err != nil {
			return err
		}
	}
	return w.readClosing(path)
}

func (w *walker) checkArray(path string, t reflect.Type) error {
	var element reflect.Type
	if t != nil {
		element = t.Elem()
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.checkValue(indexPath(path, i), element); err != nil {
			return err
		}
	}
	return w.readClosing(path)
}

// readClosing reads the delimiter that ends an object or array.
func (w *walker) readClosing(path string) error {
	_, err := w.decoder.Token()
	return errors.Wrapf(err, "%s", pathOrRoot(path))
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}

func pathOrRoot(path string) string {
	if path == "" {
		return "(root)"
	}
	return path
}

func indexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
